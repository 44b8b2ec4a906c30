import type { Socket } from "node:net";
import { Seal } from "../process/seal.js";
import { Wire } from "../process/wire.js";

/** One TCP connection carrying frames, each behind its length in four bytes. */
export class TcpLink {
  readonly #socket: Socket;
  readonly #take: (bytes: Uint8Array) => void;
  /** Invariant: holds the bytes of at most one unfinished frame. */
  #chunks: Buffer[] = [];
  #size = 0;
  #isGarbled = false;
  #isClosed = false;
  #whenClosed: (isGarbled: boolean) => void = () => undefined;

  /** Bytes waiting beyond this mean a peer that no longer reads; its link is closed. */
  static readonly mostWaiting = 128 * 1024 * 1024;

  constructor(socket: Socket, take: (bytes: Uint8Array) => void) {
    this.#socket = socket;
    this.#take = take;
    socket.on("data", (chunk: Buffer) => this.#read(chunk));
    socket.on("error", () => this.close());
    socket.on("close", () => this.#ended());
  }

  onClose(whenClosed: (isGarbled: boolean) => void): void {
    this.#whenClosed = whenClosed;
  }

  send(bytes: Uint8Array): void {
    if (this.#isClosed) return;
    if (this.#socket.writableLength > TcpLink.mostWaiting) return this.close();
    const head = Buffer.allocUnsafe(4);
    head.writeUInt32BE(bytes.length);
    this.#socket.cork();
    this.#socket.write(head);
    this.#socket.write(bytes);
    process.nextTick(() => this.#socket.uncork());
  }

  close(): void {
    this.#socket.destroy();
    this.#ended();
  }

  #ended(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#whenClosed(this.#isGarbled);
  }

  #read(chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#size += chunk.length;
    while (this.#size >= 4) {
      if (this.#chunks[0]!.length < 4) this.#chunks = [Buffer.concat(this.#chunks)];
      const length = this.#chunks[0]!.readUInt32BE(0);
      if (length === 0 || length > Wire.most) return this.#garble();
      if (this.#size < 4 + length) return;
      const whole = this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks);
      const frame = whole.subarray(4, 4 + length);
      const rest = whole.subarray(4 + length);
      this.#chunks = rest.length > 0 ? [rest] : [];
      this.#size = rest.length;
      // Foreign bytes have no right checksum; what a frame says is read once, by whoever takes it.
      if (Seal.open(frame) === undefined) return this.#garble();
      this.#take(frame);
    }
  }

  #garble(): void {
    this.#isGarbled = true;
    this.close();
  }
}
