import type { Socket } from "node:net";
import type { Frame } from "../gen/cranetrack_pb.js";
import { Wire, type Envelope } from "../rpc/wire.js";
import type { Urgency } from "./transport.js";

/**
 * A TCP connection that carries frames, each behind its length in four bytes. A frame with the same envelope as the
 * frame before it is sent without its envelope, marked by the highest bit of the length. A length of 0 is a ping, and
 * the accepting end answers it with another 0.
 */
export class TcpConnection {
  /** Maximum number of bytes queued for a peer that does not read; frames beyond that are dropped. */
  static readonly maxWaitingBytes = 8 * 1024 * 1024;
  /**
   * Minimum milliseconds between pings on a connection in use, by the urgency of its frames. An unanswered call detects
   * a dead connection sooner; pings cover frames that get no reply. At 700 ms pings were more than half of all traffic
   * of an idle edge.
   */
  static readonly pingIntervalMs: Readonly<Record<Urgency, number>> = { awaited: 1400, background: 3000 };
  /** Milliseconds after a ping without any received byte until the connection is closed. */
  static readonly silenceTimeoutMs = 2000;

  /** Bit of the length that marks a frame without an envelope. */
  static readonly #shortFlag = 0x80000000;

  readonly #socket: Socket;
  readonly #onFrame: (frame: Frame) => void;
  readonly #isPinging: boolean;
  /** Invariant: between reads, holds the bytes of at most one incomplete frame. */
  #receivedChunks: Buffer[] = [];
  #receivedBytes = 0;
  /** Frames sent in this turn of the event loop, not yet written to the socket. */
  #outgoing: Uint8Array[] = [];
  #outgoingBytes = 0;
  /** The envelopes of the last frame sent with its envelope, and of the last one received with it. */
  #sentEnvelope: Uint8Array | undefined;
  #receivedEnvelope: Envelope | undefined;
  #pingedAt = -Infinity;
  #silenceTimer: NodeJS.Timeout | undefined;
  #isGarbled = false;
  #isClosed = false;
  #onClosed: (isGarbled: boolean) => void = () => undefined;
  /** Frames dropped because the peer did not read. */
  dropped = 0;
  /** True if the connection was closed because the peer sent nothing after a ping. */
  isSilent = false;

  /** `isPinging`: the end that opened the connection, and sends frames, pings; the other end answers. */
  constructor(socket: Socket, onFrame: (frame: Frame) => void, isPinging: boolean) {
    this.#socket = socket;
    this.#onFrame = onFrame;
    this.#isPinging = isPinging;
    socket.on("data", (chunk: Buffer) => this.#receive(chunk));
    socket.on("error", () => this.close());
    socket.on("close", () => this.#onEnded());
  }

  /** Sets the handler called once when the connection has closed. */
  onClose(callback: (isGarbled: boolean) => void): void {
    this.#onClosed = callback;
  }

  /** Bytes queued for the peer. */
  get waitingBytes(): number {
    return this.#socket.writableLength + this.#outgoingBytes;
  }

  send(bytes: Uint8Array, urgency: Urgency = "awaited"): void {
    if (this.#isClosed) return;
    // A frame longer than the limit is sent if the queue is empty.
    if (this.waitingBytes > 0 && this.waitingBytes + bytes.length > TcpConnection.maxWaitingBytes)
      return void (this.dropped += 1);
    const range = Wire.envelopeRange(bytes);
    const envelope = range === undefined ? undefined : bytes.subarray(...range);
    if (
      envelope !== undefined &&
      this.#sentEnvelope !== undefined &&
      Buffer.compare(this.#sentEnvelope, envelope) === 0
    )
      this.#enqueue(Wire.stripEnvelope(bytes, range!), TcpConnection.#shortFlag);
    else {
      this.#sentEnvelope = envelope === undefined ? undefined : Buffer.from(envelope);
      this.#enqueue(bytes, 0);
    }
    if (this.#isPinging) this.#ping(TcpConnection.pingIntervalMs[urgency]);
  }

  close(): void {
    this.#socket.destroy();
    this.#onEnded();
  }

  #enqueue(bytes: Uint8Array, flag: number): void {
    const prefix = Buffer.allocUnsafe(4);
    prefix.writeUInt32BE(flag + bytes.length);
    if (this.#outgoing.length === 0) setImmediate(() => this.#flush());
    this.#outgoing.push(prefix, bytes);
    this.#outgoingBytes += 4 + bytes.length;
  }

  /** Writes all frames of one turn of the event loop together. */
  #flush(): void {
    const outgoing = this.#outgoing;
    this.#outgoing = [];
    this.#outgoingBytes = 0;
    if (this.#isClosed) return;
    this.#socket.cork();
    for (const bytes of outgoing) this.#socket.write(bytes);
    this.#socket.uncork();
  }

  #ping(intervalMs: number): void {
    const now = performance.now();
    if (this.#silenceTimer !== undefined || now - this.#pingedAt < intervalMs) return;
    this.#pingedAt = now;
    this.#enqueue(new Uint8Array(), 0);
    this.#startSilenceTimer();
  }

  /** Closes the connection if nothing is received in time, unless bytes sent earlier are still being flushed. */
  #startSilenceTimer(): void {
    const flushedBytes = (): number => this.#socket.bytesWritten - this.#socket.writableLength;
    const flushedBefore = flushedBytes();
    this.#silenceTimer = setTimeout(() => {
      // If this process was suspended, bytes that arrived in the meantime are read first.
      setImmediate(() => {
        if (this.#silenceTimer === undefined || this.#isClosed) return;
        if (this.#socket.writableLength > 0 && flushedBytes() > flushedBefore) this.#startSilenceTimer();
        else {
          this.isSilent = true;
          this.close();
        }
      });
    }, TcpConnection.silenceTimeoutMs);
    this.#silenceTimer.unref();
  }

  #onEnded(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearTimeout(this.#silenceTimer);
    this.#outgoing = [];
    this.#onClosed(this.#isGarbled);
  }

  #receive(chunk: Buffer): void {
    clearTimeout(this.#silenceTimer);
    this.#silenceTimer = undefined;
    this.#receivedChunks.push(chunk);
    this.#receivedBytes += chunk.length;
    while (this.#receivedBytes >= 4 && !this.#isClosed) {
      if (this.#receivedChunks[0]!.length < 4) this.#receivedChunks = [Buffer.concat(this.#receivedChunks)];
      const prefix = this.#receivedChunks[0]!.readUInt32BE(0);
      const isShortened = prefix >= TcpConnection.#shortFlag;
      const length = isShortened ? prefix - TcpConnection.#shortFlag : prefix;
      if (length > Wire.maxFrameBytes || (isShortened && this.#receivedEnvelope === undefined))
        return this.#closeGarbled();
      if (this.#receivedBytes < 4 + length) return;
      const whole = this.#receivedChunks.length === 1 ? this.#receivedChunks[0]! : Buffer.concat(this.#receivedChunks);
      const rest = whole.subarray(4 + length);
      this.#receivedChunks = rest.length > 0 ? [rest] : [];
      this.#receivedBytes = rest.length;
      if (length === 0) {
        if (!this.#isPinging) this.#enqueue(new Uint8Array(), 0);
        continue;
      }
      const frame = Wire.decode(whole.subarray(4, 4 + length), isShortened ? this.#receivedEnvelope : undefined);
      if (frame === undefined) return this.#closeGarbled();
      if (!isShortened && frame.hops === 0)
        this.#receivedEnvelope = { from: frame.from, to: frame.to, fromAddress: frame.fromAddress };
      this.#onFrame(frame);
    }
  }

  #closeGarbled(): void {
    this.#isGarbled = true;
    this.close();
  }
}
