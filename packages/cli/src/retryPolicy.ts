/**
 * Which calls an operator's client may send again, to the next node, when nobody knows what became of them. A call that
 * was not sent, or that a node says it did not carry out, may always go on.
 */
export type Method = "GET" | "PUT" | "POST" | "DELETE";

/** A call that one node was asked and did not answer. */
export type Unanswered =
  /** No connection came about: nobody has the call. */
  | { kind: "notSent" }
  /** Silence, or a reset once the call was on its way. */
  | { kind: "unknown" };

/** What is known of a call that one node was asked; the status of an answer may be final. */
export type Attempt = { kind: "answered"; status: number } | Unanswered;

/** Errors of the HTTP client that come before the first byte is sent. */
const beforeSending = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EADDRNOTAVAIL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

const configurationPath = "/v1/plan";

/** Not carried out, says the node (see the API's error `unavailable`). */
const unavailable = 503;

/** The rules of this module. */
export const RetryPolicy = {
  unansweredFor(error: unknown): Unanswered {
    const { code } = error as NodeJS.ErrnoException;
    return { kind: code !== undefined && beforeSending.has(code) ? "notSent" : "unknown" };
  },

  /**
   * Reads change nothing. A configuration is known by its version and content, and is acknowledged again. Other changes
   * may undo what somebody else did between the two.
   */
  mayRepeat(method: Method, path: string): boolean {
    return method === "GET" || (method === "PUT" && path === configurationPath);
  },

  /** Whether the next node may be asked after an attempt. */
  mayGoOn(attempt: Attempt, method: Method, path: string): boolean {
    switch (attempt.kind) {
      case "answered":
        return attempt.status === unavailable;
      case "notSent":
        return true;
      case "unknown":
        return RetryPolicy.mayRepeat(method, path);
    }
  },
};
