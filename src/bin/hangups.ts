/**
 * SIGHUP before a program handles it, which would end the process by default. A program imports this
 * module first, so that it is evaluated before the others.
 */
let received = false;

const recordHangup = (): void => {
  received = true;
};

process.on('SIGHUP', recordHangup);

/** Stops recording. @returns whether a SIGHUP has been received so far. */
export function takeEarlyHangup(): boolean {
  process.off('SIGHUP', recordHangup);
  return received;
}
