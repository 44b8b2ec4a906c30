import { connect, createServer, type Server, type Socket } from "node:net";

/** A wire between two processes that can be cut, silenced or slowed: the project's own, for real fleets. */
export class TcpRelay {
  readonly #server: Server;
  readonly #pairs = new Set<[Socket, Socket]>();
  #mode: "open" | "silent" | "reset" = "open";
  #delayMs = 0;

  constructor(from: { host: string; port: number }, to: { host: string; port: number }) {
    this.#server = createServer((near) => {
      near.on("error", () => undefined);
      if (this.#mode === "reset") return void near.destroy();
      const far = connect(to.port, to.host);
      const pair: [Socket, Socket] = [near, far];
      this.#pairs.add(pair);
      far.on("error", () => near.destroy());
      near.on("close", () => this.#end(pair));
      far.on("close", () => this.#end(pair));
      near.on("data", (chunk) => this.#carry(far, chunk));
      far.on("data", (chunk) => this.#carry(near, chunk));
    });
    this.#server.listen(from.port, from.host);
  }

  /** Silent keeps connections and carries nothing, like a cable pulled out. */
  set(mode: "open" | "silent" | "reset", delayMs = 0): void {
    this.#mode = mode;
    this.#delayMs = delayMs;
    if (mode !== "silent") for (const pair of [...this.#pairs]) if (mode === "reset") this.#end(pair);
  }

  close(): Promise<void> {
    for (const pair of [...this.#pairs]) this.#end(pair);
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #carry(to: Socket, chunk: Buffer): void {
    if (this.#mode !== "open") return;
    if (this.#delayMs === 0) to.write(chunk);
    else setTimeout(() => to.write(chunk), this.#delayMs);
  }

  #end(pair: [Socket, Socket]): void {
    this.#pairs.delete(pair);
    for (const socket of pair) socket.destroy();
  }
}
