/** Errors of the core that a program or a test tells apart. Each has a `code` that stays, whatever its message says. */
import VError from "verror";

/**
 * The data folder can't be used, or what it holds can't be believed. A process ends with exit code 3 rather than go on
 * with a part of its data.
 */
export class DataFolderError extends VError {
  readonly code = "data-folder";

  /** `what` was attempted, on which folder or key; the message of `cause` is put behind it. */
  constructor(what: string, cause?: unknown) {
    super({ name: "DataFolderError", ...(cause instanceof Error ? { cause } : {}) }, "%s", what);
  }
}

/** Something that holds at all times in a right program does not: the process must not go on. */
export class InvariantViolationError extends VError {
  readonly code = "invariant-violation";

  constructor(what: string) {
    super({ name: "InvariantViolationError" }, "broken invariant: %s", what);
  }
}
