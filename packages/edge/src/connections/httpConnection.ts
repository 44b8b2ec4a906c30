import type { ServerResponse } from "node:http";
import type { ClientConnection } from "./clientConnection.js";

/** The answer of a connection request, kept open: one JSON line after the other. */
export class HttpConnection implements ClientConnection {
  readonly #answer: ServerResponse;
  #isClosed = false;
  #whenClosed: () => void = () => undefined;

  constructor(answer: ServerResponse) {
    this.#answer = answer;
    answer.writeHead(200, {
      "Content-Type": "application/x-ndjson; charset=utf-8",
      "Cache-Control": "no-store",
      "X-Accel-Buffering": "no",
    });
    answer.on("close", () => this.#ended());
    answer.on("error", () => this.#ended());
    answer.socket?.setNoDelay(true);
  }

  /** Bytes in the response and its socket that the network has not taken. */
  get waitingBytes(): number {
    return this.#answer.writableLength + (this.#answer.socket?.writableLength ?? 0);
  }

  /** True from the end of either side on. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** One JSON line; a line's end follows it. */
  send(line: object): void {
    if (!this.#isClosed) this.#answer.write(`${JSON.stringify(line)}\n`);
  }

  /** Ends the response; the socket is destroyed 200 ms later, should the client not end it. */
  close(): void {
    if (this.#isClosed) return;
    this.#answer.end();
    const { socket } = this.#answer;
    setTimeout(() => socket?.destroy(), 200).unref();
    this.#ended();
  }

  /** One listener, called once. */
  onClose(whenClosed: () => void): void {
    this.#whenClosed = whenClosed;
  }

  #ended(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#whenClosed();
  }
}
