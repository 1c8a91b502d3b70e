/**
 * Replaces `node:assert` in the bundled program.
 *
 * When an assertion without a message fails, Node reads and parses the program's source to quote the
 * expression. In minified code that blocks the event loop for seconds, and a peer's bytes can cause it.
 */

class AssertionError extends Error {
  readonly code = 'ERR_ASSERTION';

  constructor(message: string | Error | undefined) {
    super(String(message ?? 'assertion failed'));
    this.name = 'AssertionError';
  }
}

/** Throws unless `value` is truthy; `message` itself if it is an error. */
function assert(value: unknown, message?: string | Error): asserts value {
  if (!value) throw message instanceof Error ? message : new AssertionError(message);
}

export = Object.assign(assert, { ok: assert, AssertionError });
