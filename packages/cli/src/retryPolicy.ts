/** The HTTP methods of the operators' API. */
export type Method = "GET" | "PUT" | "POST" | "DELETE";

/** The result of a call to one node that gave no response. */
export type Unanswered =
  /** No connection was established, so no node has received the call. */
  | { kind: "notSent" }
  /** A timeout, or a connection reset after sending began; the node may have carried out the call. */
  | { kind: "unknown" };

/** The result of a call to one node; `status` is that of its HTTP response. */
export type Attempt = { kind: "answered"; status: number } | Unanswered;

/** Error codes of the HTTP client for failures before the first byte is sent. */
const errorCodesBeforeSending = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const configurationPath = "/v1/plan";

/** HTTP status by which a node says that it did not carry out the call (the API's error `unavailable`). */
const unavailableStatus = 503;

/**
 * Decides which calls an operator's client may send to the next node. A call that was not sent, or that a node says it
 * did not carry out, may always be sent again; a call with an unknown outcome only if repeating it does no harm.
 */
export const RetryPolicy = {
  /** Whether a call that failed with this error of the HTTP client may have reached the node. */
  classifyError(error: unknown): Unanswered {
    const { code } = error as NodeJS.ErrnoException;
    return { kind: code !== undefined && errorCodesBeforeSending.has(code) ? "notSent" : "unknown" };
  },

  /**
   * Whether repeating a call does no harm. Reads change nothing. A configuration is identified by its version and
   * content, so a repeated one is only acknowledged again. Any other repeated change could undo what another client did
   * in between.
   */
  mayRepeat(method: Method, path: string): boolean {
    return method === "GET" || (method === "PUT" && path === configurationPath);
  },

  /** Whether the call may be sent to the next node after this attempt. */
  mayTryNextNode(attempt: Attempt, method: Method, path: string): boolean {
    switch (attempt.kind) {
      case "answered":
        return attempt.status === unavailableStatus;
      case "notSent":
        return true;
      case "unknown":
        return RetryPolicy.mayRepeat(method, path);
    }
  },
};
