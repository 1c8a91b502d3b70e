/** The system clocks. Other layers receive the time as arguments. */
import { performance } from 'node:perf_hooks';
import type { Instant } from '../coordination/index.js';

/** Reads the monotonic clock and the wall clock. */
export type Clock = () => Instant;

export const systemClock: Clock = () => ({ nowMs: performance.now(), wallMs: Date.now() });

/** Resolves after `ms`, or as soon as the signal is aborted meanwhile. */
export function pause(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const end = (): void => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', end);
      resolve();
    };
    const timer = setTimeout(end, ms);
    signal?.addEventListener('abort', end);
  });
}
