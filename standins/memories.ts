/** The memory that a test takes. */

/** Samples the memory in use until told to end. @returns the peak over the first sample, in bytes. */
export function peakOf(): () => number {
  const used = (): number => {
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
  };
  const first = used();
  let peak = first;
  const timer = setInterval(() => {
    peak = Math.max(peak, used());
  }, 5);
  return () => {
    clearInterval(timer);
    return peak - first;
  };
}
