/** The processor of a process that is pressed, whatever else runs on the machine. */
import { readFileSync } from 'node:fs';

const NS_PER_MS = 1e6;

/** Time that this process's main thread has waited for a core, in milliseconds; 0 where that is not told. */
function waitedMs(): number {
  try {
    const [, waitedNs] = readFileSync('/proc/self/schedstat', 'utf8').split(' ');
    return Number(waitedNs) / NS_PER_MS;
  } catch {
    return 0;
  }
}

/** Monotonic time in milliseconds, without that in which other processes had the core. */
export function coreMs(): number {
  return performance.now() - waitedMs();
}

/** Takes the processor for a time in milliseconds. */
export function block(ms: number): void {
  const end = coreMs() + ms;
  while (coreMs() < end);
}

/** Takes as much of the event loop's time as all else does. @returns how to end it. */
export function halveProcessor(): () => void {
  let endedMs = coreMs();
  let next: NodeJS.Immediate | undefined;
  const take = (): void => {
    block(coreMs() - endedMs);
    endedMs = coreMs();
    next = setImmediate(take);
  };
  take();
  return () => clearImmediate(next);
}
