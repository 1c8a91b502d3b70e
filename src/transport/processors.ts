/** How much of its processor time this process uses. */
import { performance } from 'node:perf_hooks';

/** A meter of the share in use, 0 to 1, since it was last read. */
export type BusyMeter = () => number;

/** Measures by the time in which the event loop had work: a share of a core counts as all there is. */
export function eventLoopMeter(): BusyMeter {
  let last = performance.eventLoopUtilization();
  return () => {
    const now = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(now, last);
    last = now;
    return utilization;
  };
}
