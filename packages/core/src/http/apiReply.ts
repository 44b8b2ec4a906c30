/** A problem with one field of a request body; `path` is the path of the field. */
export interface ApiProblem {
  path: string;
  problem: string;
}

/** The reply to an HTTP call, on whichever node it was executed. */
export interface ApiReply {
  status: number;
  body: unknown;
  retryAfterSeconds?: number | undefined;
}

/** Builds replies. All errors have the same shape. */
export const ApiReplies = {
  /** A successful reply. */
  done(body: unknown, status = 200): ApiReply {
    return { status, body };
  },

  /** An error with a stable `code`. */
  fault(
    status: number,
    code: string,
    message: string,
    options: { problems?: ApiProblem[]; retryAfterSeconds?: number | undefined; details?: object } = {},
  ): ApiReply {
    const { problems, retryAfterSeconds, details } = options;
    return {
      status,
      retryAfterSeconds,
      body: {
        error: {
          code,
          message,
          ...(problems === undefined ? {} : { problems }),
          ...(retryAfterSeconds === undefined ? {} : { comeBack: retryAfterSeconds }),
          ...details,
        },
      },
    };
  },

  /** The call failed without changing anything; the client may retry it after `retryAfterSeconds`. */
  unavailable(message: string, retryAfterSeconds = 1, code = "unavailable"): ApiReply {
    return ApiReplies.fault(503, code, message, { retryAfterSeconds });
  },

  /** The call may or may not have been executed; the client learns the outcome by retrying the same call. */
  unknown(message: string, retryAfterSeconds = 0.5): ApiReply {
    return ApiReplies.fault(504, "unsure", message, { retryAfterSeconds });
  },
};
