import { readFileSync } from "node:fs";
import { Agent, request } from "undici";

export interface FleetReceipt {
  status: number;
  text: string;
  body: Record<string, unknown>;
  comeBack: number | undefined;
}

/** Calls any node of the fleet over HTTP; the next one where one does not answer. */
export class FleetClient {
  readonly #nodes: string[];
  readonly #agent = new Agent({ connect: { timeout: 1500 }, headersTimeout: 5000, bodyTimeout: 5000 });

  constructor(nodes: readonly string[]) {
    this.#nodes = [...nodes];
  }

  static readPlan(path: string): string {
    return readFileSync(path === "-" ? 0 : path, "utf8");
  }

  async call(
    method: "GET" | "PUT" | "POST" | "DELETE",
    path: string,
    body?: string,
    nodes: readonly string[] = this.#nodes,
  ): Promise<FleetReceipt> {
    let last: FleetReceipt = {
      status: 0,
      text: "",
      body: { error: { code: "unreachable", message: `no node answers: ${nodes.join(", ")}` } },
      comeBack: undefined,
    };
    for (const node of nodes) {
      try {
        const answer = await request(`http://${node}${path}`, {
          method,
          dispatcher: this.#agent,
          ...(body === undefined ? {} : { body, headers: { "Content-Type": "application/json" } }),
        });
        const text = await answer.body.text();
        const retryAfter = answer.headers["retry-after"];
        last = {
          status: answer.statusCode,
          text,
          body: FleetClient.#parse(text),
          comeBack: retryAfter === undefined ? undefined : Number(retryAfter),
        };
        if (answer.statusCode !== 503) return last;
      } catch {
        // An unreachable node says nothing about the call; the next one is asked.
      }
    }
    return last;
  }

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
