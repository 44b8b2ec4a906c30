import { readFileSync } from "node:fs";
import { Agent, request } from "undici";
import { RetryPolicy, type Method, type Unanswered } from "./retryPolicy.js";

/** The reply of the last node that was called. */
export interface FleetReply {
  /** The HTTP status; 0 where no node answered. */
  status: number;
  /** The body as it was received. */
  text: string;
  /** The parsed body; `{ text }` if it is not JSON. */
  body: Record<string, unknown>;
  /** The header `Retry-After`; undefined if the reply has none. */
  retryAfterSeconds: number | undefined;
}

/** Calls nodes of the fleet over HTTP, and tries the next one if `RetryPolicy` allows it. */
export class FleetClient {
  readonly #nodes: string[];
  readonly #agent = new Agent({ connect: { timeout: 1500 }, headersTimeout: 5000, bodyTimeout: 5000 });

  constructor(nodes: readonly string[]) {
    this.#nodes = [...nodes];
  }

  /** Reads a file, or standard input for `-`; throws if it cannot be read. */
  static readConfigurationFile(path: string): string {
    return readFileSync(path === "-" ? 0 : path, "utf8");
  }

  /**
   * Calls the nodes in order until one gives a final reply. Never throws: if no node replies or the outcome is unknown,
   * the reply has status 0 and an `error` in its body (`unreachable` or `unsure`).
   */
  async call(method: Method, path: string, body?: string, nodes: readonly string[] = this.#nodes): Promise<FleetReply> {
    let lastReply = FleetClient.#unansweredReply("unreachable", `no node answers: ${nodes.join(", ")}`);
    for (const node of nodes) {
      const attempt = await this.#attempt(node, method, path, body);
      if (attempt.kind === "answered") lastReply = attempt.reply;
      if (RetryPolicy.mayTryNextNode(attempt, method, path)) continue;
      if (attempt.kind === "unknown")
        lastReply = FleetClient.#unansweredReply(
          "unsure",
          `${node} may or may not have carried it out; look before you ask again`,
        );
      return lastReply;
    }
    return lastReply;
  }

  async #attempt(
    node: string,
    method: Method,
    path: string,
    body: string | undefined,
  ): Promise<Unanswered | { kind: "answered"; status: number; reply: FleetReply }> {
    try {
      const response = await request(`http://${node}${path}`, {
        method,
        dispatcher: this.#agent,
        ...(body === undefined ? {} : { body, headers: { "Content-Type": "application/json" } }),
      });
      const status = response.statusCode;
      const text = await response.body.text();
      const retryAfter = response.headers["retry-after"];
      const retryAfterSeconds = retryAfter === undefined ? undefined : Number(retryAfter);
      return { kind: "answered", status, reply: { status, text, body: FleetClient.#parse(text), retryAfterSeconds } };
    } catch (error) {
      return RetryPolicy.classifyError(error);
    }
  }

  static #unansweredReply(code: string, message: string): FleetReply {
    return { status: 0, text: "", body: { error: { code, message } }, retryAfterSeconds: undefined };
  }

  /** Closes the connections to the nodes. */
  close(): Promise<void> {
    return this.#agent.close();
  }

  static #parse(text: string): Record<string, unknown> {
    try {
      return JSON.parse(text) as Record<string, unknown>;
    } catch {
      return { text };
    }
  }
}
