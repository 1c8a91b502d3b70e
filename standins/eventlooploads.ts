/** CPU load in this process, measured independently of other processes on the machine. */
import { readFileSync } from 'node:fs';

const NS_PER_MS = 1e6;

/** Time that the main thread has waited for a CPU core, in milliseconds; 0 where the OS does not report it. */
function cpuWaitMs(): number {
  try {
    const [, cpuWaitNs] = readFileSync('/proc/self/schedstat', 'utf8').split(' ');
    return Number(cpuWaitNs) / NS_PER_MS;
  } catch {
    return 0;
  }
}

/** Monotonic time in milliseconds, without the time in which other processes occupied the core. */
export function nowMsWithoutCpuWait(): number {
  return performance.now() - cpuWaitMs();
}

/** Blocks the event loop by busy-waiting for a time in milliseconds. */
export function blockEventLoop(ms: number): void {
  const endMs = nowMsWithoutCpuWait() + ms;
  while (nowMsWithoutCpuWait() < endMs);
}

/** Occupies half of the event loop: blocks as long as all other work took. @returns a function that stops it. */
export function occupyHalfOfEventLoop(): () => void {
  let blockEndMs = nowMsWithoutCpuWait();
  let immediate: NodeJS.Immediate | undefined;
  const blockNext = (): void => {
    blockEventLoop(nowMsWithoutCpuWait() - blockEndMs);
    blockEndMs = nowMsWithoutCpuWait();
    immediate = setImmediate(blockNext);
  };
  blockNext();
  return () => clearImmediate(immediate);
}
