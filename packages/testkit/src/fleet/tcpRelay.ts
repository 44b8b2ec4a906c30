import { connect, createServer, type Server, type Socket } from "node:net";

/** `mute` carries what comes in and loses what goes back, as where answers are lost. */
export type RelayMode = "open" | "silent" | "unresponsive" | "reset";

/** A wire between two processes that can be cut, silenced or slowed: the project's own, for real fleets. */
export class TcpRelay {
  readonly #server: Server;
  readonly #pairs = new Set<[Socket, Socket]>();
  #mode: RelayMode = "open";
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
      far.on("data", (chunk) => this.#carry(near, chunk, true));
    });
    this.#server.listen(from.port, from.host);
  }

  /** Silent keeps connections and carries nothing, like a cable pulled out. */
  set(mode: RelayMode, delayMs = 0): void {
    this.#mode = mode;
    this.#delayMs = delayMs;
    if (mode === "reset") for (const pair of [...this.#pairs]) this.#end(pair);
  }

  close(): Promise<void> {
    for (const pair of [...this.#pairs]) this.#end(pair);
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }

  #carry(to: Socket, chunk: Buffer, isBack = false): void {
    const isCarried = this.#mode === "open" || (this.#mode === "unresponsive" && !isBack);
    if (!isCarried) return;
    if (this.#delayMs === 0) to.write(chunk);
    else setTimeout(() => to.write(chunk), this.#delayMs);
  }

  #end(pair: [Socket, Socket]): void {
    this.#pairs.delete(pair);
    for (const socket of pair) socket.destroy();
  }
}
