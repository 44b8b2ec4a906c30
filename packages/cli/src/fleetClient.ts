import { readFileSync } from "node:fs";
import { Agent, request } from "undici";
import { RetryPolicy, type Method, type Unanswered } from "./retryPolicy.js";

/** What the last node that was asked answered. */
export interface FleetReply {
  /** The HTTP status; 0 where no node answered. */
  status: number;
  text: string;
  body: Record<string, unknown>;
  /** Seconds. */
  retryAfterSeconds: number | undefined;
}

/** Calls any node of the fleet over HTTP; the next one where the retry policy lets it. */
export class FleetClient {
  readonly #nodes: string[];
  readonly #agent = new Agent({ connect: { timeout: 1500 }, headersTimeout: 5000, bodyTimeout: 5000 });

  constructor(nodes: readonly string[]) {
    this.#nodes = [...nodes];
  }

  /** The file's text, or standard input for `-`. */
  static readConfigurationFile(path: string): string {
    return readFileSync(path === "-" ? 0 : path, "utf8");
  }

  /**
   * Asks the nodes in turn until one has a final answer. Never throws: a call that no node answered, or with an unknown
   * outcome, has status 0 and an `error` in its body.
   */
  async call(method: Method, path: string, body?: string, nodes: readonly string[] = this.#nodes): Promise<FleetReply> {
    let last = FleetClient.#noAnswer("unreachable", `no node answers: ${nodes.join(", ")}`);
    for (const node of nodes) {
      const attempt = await this.#attempt(node, method, path, body);
      if (attempt.kind === "answered") last = attempt.reply;
      if (RetryPolicy.mayGoOn(attempt, method, path)) continue;
      if (attempt.kind === "unknown")
        last = FleetClient.#noAnswer("unsure", `${node} may or may not have carried it out; look before you ask again`);
      return last;
    }
    return last;
  }

  async #attempt(
    node: string,
    method: Method,
    path: string,
    body: string | undefined,
  ): Promise<Unanswered | { kind: "answered"; status: number; reply: FleetReply }> {
    try {
      const answer = await request(`http://${node}${path}`, {
        method,
        dispatcher: this.#agent,
        ...(body === undefined ? {} : { body, headers: { "Content-Type": "application/json" } }),
      });
      const status = answer.statusCode;
      const text = await answer.body.text();
      const retryAfter = answer.headers["retry-after"];
      const retryAfterSeconds = retryAfter === undefined ? undefined : Number(retryAfter);
      return { kind: "answered", status, reply: { status, text, body: FleetClient.#parse(text), retryAfterSeconds } };
    } catch (error) {
      return RetryPolicy.unansweredFor(error);
    }
  }

  static #noAnswer(code: string, message: string): FleetReply {
    return { status: 0, text: "", body: { error: { code, message } }, retryAfterSeconds: undefined };
  }

  /** Ends the connections to the nodes. */
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
