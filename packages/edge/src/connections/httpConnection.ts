import type { ServerResponse } from "node:http";
import type { ClientConnection } from "./clientConnection.js";

/** A client connection over HTTP: the open response to a connection request, with one JSON object per line. */
export class HttpConnection implements ClientConnection {
  readonly #response: ServerResponse;
  #isClosed = false;
  #closeListener: () => void = () => undefined;

  constructor(response: ServerResponse) {
    this.#response = response;
    response.writeHead(200, {
      "Content-Type": "application/x-ndjson; charset=utf-8",
      "Cache-Control": "no-store",
      "X-Accel-Buffering": "no",
    });
    response.on("close", () => this.#ended());
    response.on("error", () => this.#ended());
    response.socket?.setNoDelay(true);
  }

  /** Bytes buffered in the response and its socket. */
  get bufferedBytes(): number {
    return this.#response.writableLength + (this.#response.socket?.writableLength ?? 0);
  }

  /** True once either side has closed the connection. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Sends an object as one line of JSON; does nothing once the connection is closed. */
  send(line: object): void {
    if (!this.#isClosed) this.#response.write(`${JSON.stringify(line)}\n`);
  }

  /** Ends the response. Destroys the socket after 200 ms, in case the client does not close it. */
  close(): void {
    if (this.#isClosed) return;
    this.#response.end();
    const { socket } = this.#response;
    setTimeout(() => socket?.destroy(), 200).unref();
    this.#ended();
  }

  /** Sets the only listener; it is called once, when either side closes the connection. */
  onClose(listener: () => void): void {
    this.#closeListener = listener;
  }

  #ended(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#closeListener();
  }
}
