export interface ApiProblem {
  path: string;
  problem: string;
}

/** What a call over HTTP is answered with, wherever in the fleet it was carried out. */
export interface ApiReply {
  status: number;
  body: unknown;
  retryAfterSeconds?: number | undefined;
}

/** The one error shape. */
export const ApiReplies = {
  done(body: unknown, status = 200): ApiReply {
    return { status, body };
  },

  fault(
    status: number,
    code: string,
    message: string,
    more: { problems?: ApiProblem[]; retryAfterSeconds?: number | undefined; details?: object } = {},
  ): ApiReply {
    const { problems, retryAfterSeconds, details } = more;
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

  /** Given up on at once; nothing was changed. */
  unavailable(message: string, retryAfterSeconds = 1, code = "unavailable"): ApiReply {
    return ApiReplies.fault(503, code, message, { retryAfterSeconds });
  },

  /** It may or may not have been carried out; the same call again settles it. */
  unknown(message: string, retryAfterSeconds = 0.5): ApiReply {
    return ApiReplies.fault(504, "unsure", message, { retryAfterSeconds });
  },
};
