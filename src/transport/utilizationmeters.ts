/** Measures the processor utilization of this process. */
import { performance } from 'node:perf_hooks';

/** Returns the utilization since the previous call, between 0 and 1. */
export type UtilizationMeter = () => number;

/** Measures the share of time in which the event loop was busy; 1 is a saturated event loop, so one core. */
export function eventLoopMeter(): UtilizationMeter {
  let last = performance.eventLoopUtilization();
  return () => {
    const now = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(now, last);
    last = now;
    return utilization;
  };
}
