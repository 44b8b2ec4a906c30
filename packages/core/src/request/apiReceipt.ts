export interface ApiProblem {
  path: string;
  problem: string;
}

/** What a call over HTTP is answered with, wherever in the fleet it was carried out. */
export interface ApiReceipt {
  status: number;
  body: unknown;
  comeBack?: number | undefined;
}

/** The one error shape. */
export const ApiReceipts = {
  done(body: unknown, status = 200): ApiReceipt {
    return { status, body };
  },

  fault(
    status: number,
    code: string,
    message: string,
    more: { problems?: ApiProblem[]; comeBack?: number | undefined; details?: object } = {},
  ): ApiReceipt {
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
  away(message: string, comeBack = 1, code = "unavailable"): ApiReceipt {
    return ApiReceipts.fault(503, code, message, { comeBack });
  },

  /** It may or may not have been carried out; the same call again settles it. */
  unsure(message: string, comeBack = 0.5): ApiReceipt {
    return ApiReceipts.fault(504, "unsure", message, { comeBack });
  },
};
