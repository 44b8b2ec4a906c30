import { connect, createServer, type Server, type Socket } from "node:net";

/**
 * What a relay does with connections and data: `open` forwards both ways, `silent` drops data both ways and keeps the
 * connections, `unresponsive` forwards requests and drops answers, `reset` closes every connection.
 */
export type RelayMode = "open" | "silent" | "unresponsive" | "reset";

/**
 * A TCP proxy between two processes that can drop data, delay it or close connections, for fleets of real processes.
 */
export class TcpRelay {
  readonly #server: Server;
  readonly #pairs = new Set<[Socket, Socket]>();
  #mode: RelayMode = "open";
  #delayMs = 0;

  /** Listens on `from` and connects to `to` for each accepted connection. */
  constructor(from: { host: string; port: number }, to: { host: string; port: number }) {
    this.#server = createServer((inbound) => {
      inbound.on("error", () => undefined);
      if (this.#mode === "reset") return void inbound.destroy();
      const outbound = connect(to.port, to.host);
      const pair: [Socket, Socket] = [inbound, outbound];
      this.#pairs.add(pair);
      outbound.on("error", () => inbound.destroy());
      inbound.on("close", () => this.#destroyPair(pair));
      outbound.on("close", () => this.#destroyPair(pair));
      inbound.on("data", (chunk) => this.#forward(outbound, chunk));
      outbound.on("data", (chunk) => this.#forward(inbound, chunk, true));
    });
    this.#server.listen(from.port, from.host);
  }

  /** Changes the mode; forwarded data is delayed by `delayMs` milliseconds from now on. */
  setMode(mode: RelayMode, delayMs = 0): void {
    this.#mode = mode;
    this.#delayMs = delayMs;
    if (mode === "reset") for (const pair of [...this.#pairs]) this.#destroyPair(pair);
  }

  /** Closes all connections and stops listening. */
  close(): Promise<void> {
    for (const pair of [...this.#pairs]) this.#destroyPair(pair);
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #forward(to: Socket, chunk: Buffer, isReply = false): void {
    const isForwarded = this.#mode === "open" || (this.#mode === "unresponsive" && !isReply);
    if (!isForwarded) return;
    if (this.#delayMs === 0) to.write(chunk);
    else setTimeout(() => to.write(chunk), this.#delayMs);
  }

  #destroyPair(pair: [Socket, Socket]): void {
    this.#pairs.delete(pair);
    for (const socket of pair) socket.destroy();
  }
}
