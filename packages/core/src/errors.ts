/** Errors of the core that programs and tests distinguish by their `code`, which is stable; messages may change. */
import VError from "verror";

/**
 * The data folder can't be used, or its content is damaged. The process exits with code 3 rather than continue with
 * only a part of its data.
 */
export class DataFolderError extends VError {
  readonly code = "data-folder";

  /** `message` says what failed, with the folder or key; the message of `cause` is appended. */
  constructor(message: string, cause?: unknown) {
    super({ name: "DataFolderError", ...(cause instanceof Error ? { cause } : {}) }, "%s", message);
  }
}

/** An invariant of the program is violated: the process must not continue. */
export class InvariantViolationError extends VError {
  readonly code = "invariant-violation";

  constructor(violation: string) {
    super({ name: "InvariantViolationError" }, "broken invariant: %s", violation);
  }
}
