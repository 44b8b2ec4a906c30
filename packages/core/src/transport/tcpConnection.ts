import type { Socket } from "node:net";
import type { Frame } from "../gen/cranetrack_pb.js";
import { Wire, type Envelope } from "../rpc/wire.js";
import type { Urgency } from "./transport.js";

/**
 * One TCP connection carrying frames, each behind its length in four bytes. Only the first frame and those of other
 * nodes say who sends to whom; the others have the length's highest bit set and the envelope left out. A length of
 * nothing is a ping, and is answered with the same.
 */
export class TcpConnection {
  /** Bytes that may wait for a peer that does not read; what comes beyond is dropped, frame by frame. */
  static readonly maxWaiting = 8 * 1024 * 1024;
  /**
   * How often a connection in use is pinged, by what it carries; and how long it may stay silent then. A call that is
   * not answered finds a dead connection sooner; pings are for what nobody answers. At 700 ms they were more than half
   * of all that an idle edge sent and read.
   */
  static readonly pingMs: Readonly<Record<Urgency, number>> = { awaited: 1400, background: 3000 };
  static readonly silentMs = 2000;

  static readonly #short = 0x80000000;

  readonly #socket: Socket;
  readonly #take: (frame: Frame) => void;
  readonly #isPinging: boolean;
  /** Invariant: holds the bytes of at most one unfinished frame. */
  #chunks: Buffer[] = [];
  #size = 0;
  /** Frames of this turn of the event loop, not yet written. */
  #pending: Uint8Array[] = [];
  #pendingSize = 0;
  /** The envelope of the latest whole frame that was sent, and of the latest that was read. */
  #sent: Uint8Array | undefined;
  #read: Envelope | undefined;
  #pingedAt = -Infinity;
  #deadline: NodeJS.Timeout | undefined;
  #isGarbled = false;
  #isClosed = false;
  #whenClosed: (isGarbled: boolean) => void = () => undefined;
  /** Whole frames that were dropped because the peer did not read. */
  dropped = 0;
  /** Closed because nothing came back. */
  isSilent = false;

  /** Whoever sends frames pings; the other end answers. */
  constructor(socket: Socket, take: (frame: Frame) => void, isPinging: boolean) {
    this.#socket = socket;
    this.#take = take;
    this.#isPinging = isPinging;
    socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    socket.on("error", () => this.close());
    socket.on("close", () => this.#ended());
  }

  onClose(whenClosed: (isGarbled: boolean) => void): void {
    this.#whenClosed = whenClosed;
  }

  get waiting(): number {
    return this.#socket.writableLength + this.#pendingSize;
  }

  send(bytes: Uint8Array, urgency: Urgency = "awaited"): void {
    if (this.#isClosed) return;
    // A longer frame than may wait goes out alone.
    if (this.waiting > 0 && this.waiting + bytes.length > TcpConnection.maxWaiting) return void (this.dropped += 1);
    const place = Wire.envelopeIn(bytes);
    const envelope = place === undefined ? undefined : bytes.subarray(...place);
    if (envelope !== undefined && this.#sent !== undefined && Buffer.compare(this.#sent, envelope) === 0)
      this.#put(Wire.shorten(bytes, place!), TcpConnection.#short);
    else {
      this.#sent = envelope === undefined ? undefined : Buffer.from(envelope);
      this.#put(bytes, 0);
    }
    if (this.#isPinging) this.#ping(TcpConnection.pingMs[urgency]);
  }

  close(): void {
    this.#socket.destroy();
    this.#ended();
  }

  #put(bytes: Uint8Array, flag: number): void {
    const head = Buffer.allocUnsafe(4);
    head.writeUInt32BE(flag + bytes.length);
    if (this.#pending.length === 0) setImmediate(() => this.#flush());
    this.#pending.push(head, bytes);
    this.#pendingSize += 4 + bytes.length;
  }

  /** What one turn of the event loop sent goes out together. */
  #flush(): void {
    const pending = this.#pending;
    this.#pending = [];
    this.#pendingSize = 0;
    if (this.#isClosed) return;
    this.#socket.cork();
    for (const bytes of pending) this.#socket.write(bytes);
    this.#socket.uncork();
  }

  #ping(periodMs: number): void {
    const now = performance.now();
    if (this.#deadline !== undefined || now - this.#pingedAt < periodMs) return;
    this.#pingedAt = now;
    this.#put(new Uint8Array(), 0);
    this.#expect();
  }

  /** Closes the connection unless something comes; not while what was sent before still flows. */
  #expect(): void {
    const flowed = (): number => this.#socket.bytesWritten - this.#socket.writableLength;
    const before = flowed();
    this.#deadline = setTimeout(() => {
      // Whoever slept itself reads first what came meanwhile.
      setImmediate(() => {
        if (this.#deadline === undefined || this.#isClosed) return;
        if (this.#socket.writableLength > 0 && flowed() > before) this.#expect();
        else {
          this.isSilent = true;
          this.close();
        }
      });
    }, TcpConnection.silentMs);
    this.#deadline.unref();
  }

  #ended(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearTimeout(this.#deadline);
    this.#pending = [];
    this.#whenClosed(this.#isGarbled);
  }

  #receive(chunk: Buffer): void {
    clearTimeout(this.#deadline);
    this.#deadline = undefined;
    this.#chunks.push(chunk);
    this.#size += chunk.length;
    while (this.#size >= 4 && !this.#isClosed) {
      if (this.#chunks[0]!.length < 4) this.#chunks = [Buffer.concat(this.#chunks)];
      const head = this.#chunks[0]!.readUInt32BE(0);
      const isShort = head >= TcpConnection.#short;
      const length = isShort ? head - TcpConnection.#short : head;
      if (length > Wire.most || (isShort && this.#read === undefined)) return this.#garble();
      if (this.#size < 4 + length) return;
      const whole = this.#chunks.length === 1 ? this.#chunks[0]! : Buffer.concat(this.#chunks);
      const rest = whole.subarray(4 + length);
      this.#chunks = rest.length > 0 ? [rest] : [];
      this.#size = rest.length;
      if (length === 0) {
        if (!this.#isPinging) this.#put(new Uint8Array(), 0);
        continue;
      }
      const frame = Wire.decode(whole.subarray(4, 4 + length), isShort ? this.#read : undefined);
      if (frame === undefined) return this.#garble();
      if (!isShort && frame.hops === 0) this.#read = { from: frame.from, to: frame.to, fromAddress: frame.fromAddress };
      this.#take(frame);
    }
  }

  #garble(): void {
    this.#isGarbled = true;
    this.close();
  }
}
