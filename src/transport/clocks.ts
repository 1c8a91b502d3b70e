/** The clocks of the machine. Layers below are passed their readings. */
import { performance } from 'node:perf_hooks';
import type { Instant } from '../coordination/index.js';

/** Reads both clocks. */
export type Clock = () => Instant;

/** The machine's own clocks. */
export const systemClock: Clock = () => ({ nowMs: performance.now(), wallMs: Date.now() });

/** Resolves after a while; at once when the signal is aborted. */
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
