export interface ApiProblem {
  path: string;
  problem: string;
}

/** What a call over HTTP is answered with, wherever in the fleet it was carried out. */
export interface ApiReply {
  status: number;
  body: unknown;
  comeBack?: number | undefined;
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
    more: { problems?: ApiProblem[]; comeBack?: number | undefined; details?: object } = {},
  ): ApiReply {
    const { problems, comeBack, details } = more;
    return {
      status,
      comeBack,
      body: {
        error: {
          code,
          message,
          ...(problems === undefined ? {} : { problems }),
          ...(comeBack === undefined ? {} : { comeBack }),
          ...details,
        },
      },
    };
  },

  /** Given up on at once; nothing was changed. */
  away(message: string, comeBack = 1, code = "unavailable"): ApiReply {
    return ApiReplies.fault(503, code, message, { comeBack });
  },

  /** It may or may not have been carried out; the same call again settles it. */
  unsure(message: string, comeBack = 0.5): ApiReply {
    return ApiReplies.fault(504, "unsure", message, { comeBack });
  },
};
