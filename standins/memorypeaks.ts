/** Measures the peak memory use of a test. */

/**
 * Samples the heap and array buffers in use.
 * @returns a function that stops sampling and returns the peak above the first sample, in bytes.
 */
export function trackPeakMemory(): () => number {
  const usedBytes = (): number => {
    const { heapUsed, arrayBuffers } = process.memoryUsage();
    return heapUsed + arrayBuffers;
  };
  const initialBytes = usedBytes();
  let peakBytes = initialBytes;
  const timer = setInterval(() => {
    peakBytes = Math.max(peakBytes, usedBytes());
  }, 5);
  return () => {
    clearInterval(timer);
    return peakBytes - initialBytes;
  };
}
