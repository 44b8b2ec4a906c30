import fastify, { type FastifyInstance, type FastifyReply } from "fastify";

import { ApiReplies, type ApiReply } from "./apiReply.js";
import { Router } from "./router.js";

/** Opens a stream on `reply`, or returns an error reply to send instead. */
type StreamHandler = (path: string, body: Uint8Array, reply: FastifyReply) => Promise<ApiReply | undefined>;

/** HTTP/1.1 server for clients and operators. The router handles all calls except long-lived streaming responses. */
export class HttpServer {
  readonly #app: FastifyInstance;

  constructor(router: Router, stream?: { pattern: RegExp; open: StreamHandler }) {
    this.#app = fastify({
      bodyLimit: Router.maxConfigurationBodyBytes,
      forceCloseConnections: true,
      exposeHeadRoutes: false,
    });
    this.#app.removeAllContentTypeParsers();
    this.#app.addContentTypeParser("*", { parseAs: "buffer" }, (_request, body, done) => done(null, body));
    this.#app.setErrorHandler((error: { statusCode?: number; message: string }, _request, reply) => {
      const status = error.statusCode ?? 500;
      return HttpServer.#send(
        reply,
        ApiReplies.fault(status, status === 413 ? "too-large" : "malformed", error.message),
      );
    });
    this.#app.all("/*", async (request, reply) => {
      const path = request.url.split("?")[0]!;
      const body = (request.body as Uint8Array | undefined) ?? new Uint8Array();
      if (stream !== undefined && request.method === "POST" && stream.pattern.test(path)) {
        const apiReply = await stream.open(path, body, reply);
        return apiReply === undefined ? reply : HttpServer.#send(reply, apiReply);
      }
      return HttpServer.#send(reply, await router.run(request.method, path, body));
    });
  }

  async listen(address: string): Promise<void> {
    const colon = address.lastIndexOf(":");
    await this.#app.listen({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)) });
  }

  async close(): Promise<void> {
    await this.#app.close();
  }
  static #send(reply: FastifyReply, apiReply: ApiReply): FastifyReply {
    if (apiReply.retryAfterSeconds !== undefined)
      void reply.header("Retry-After", String(Math.max(1, Math.ceil(apiReply.retryAfterSeconds))));
    const type = typeof apiReply.body === "string" ? "text/plain; charset=utf-8" : "application/json; charset=utf-8";
    const bytes =
      typeof apiReply.body === "string" ? Buffer.from(apiReply.body) : Buffer.from(Router.encode(apiReply.body));
    return reply.code(apiReply.status).header("Content-Type", type).send(bytes);
  }
}
