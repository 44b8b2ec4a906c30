import { Agent, request } from "undici";
import type { ClientPort, ConnectionHandlers, PortConnection, PortReply } from "./clientPort.js";

/** Requests and long connections over HTTP/1.1, as real clients make them. */
export class HttpPort implements ClientPort {
  readonly #addressOf: (node: string) => string;
  readonly #agent = new Agent({ connections: null, bodyTimeout: 0, headersTimeout: 8000, connect: { timeout: 1500 } });

  /** `addressOf` gives the `host:port` of a node. */
  constructor(addressOf: (node: string) => string) {
    this.#addressOf = addressOf;
  }

  async openConnection(
    node: string,
    session: string,
    body: object,
    handlers: ConnectionHandlers,
  ): Promise<PortConnection | PortReply> {
    const abortController = new AbortController();
    try {
      const answer = await request(`http://${this.#addressOf(node)}/v1/sessions/${session}/link`, {
        method: "POST",
        dispatcher: this.#agent,
        body: JSON.stringify(body),
        headers: { "Content-Type": "application/json" },
        signal: abortController.signal,
        headersTimeout: 1500,
      });
      if (answer.statusCode !== 200) return HttpPort.#reply(answer.statusCode, await answer.body.text());
      let partialLine = "";
      answer.body.setEncoding("utf8");
      answer.body.on("data", (chunk: string) => {
        const lines = (partialLine + chunk).split("\n");
        partialLine = lines.pop()!;
        for (const line of lines) handlers.onLine(JSON.parse(line) as Record<string, unknown>);
      });
      answer.body.on("error", () => undefined);
      answer.body.on("close", () => handlers.onClosed());
      return { close: () => abortController.abort() };
    } catch {
      return { status: 0, body: {}, retryAfterSeconds: 0.3 };
    }
  }

  async call(node: string, method: string, path: string, body: string | undefined): Promise<PortReply> {
    try {
      const answer = await request(`http://${this.#addressOf(node)}${path}`, {
        method: method as "GET",
        dispatcher: this.#agent,
        ...(body === undefined ? {} : { body, headers: { "Content-Type": "application/json" } }),
        headersTimeout: 2500,
      });
      return HttpPort.#reply(answer.statusCode, await answer.body.text());
    } catch (error) {
      const isConnectionRefused = (error as { code?: string }).code === "ECONNREFUSED";
      return {
        status: isConnectionRefused ? 503 : 0,
        body: { error: { code: isConnectionRefused ? "unreachable" : "broken" } },
        retryAfterSeconds: 0.3,
      };
    }
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.#agent.destroy();
  }

  static #reply(status: number, text: string): PortReply {
    let body: Record<string, unknown>;
    try {
      body = JSON.parse(text) as Record<string, unknown>;
    } catch {
      body = { text };
    }
    const retryAfterSeconds = (body["error"] as { retryAfterSeconds?: number } | undefined)?.retryAfterSeconds;
    return { status, body: { ...body, raw: text }, retryAfterSeconds };
  }
}
