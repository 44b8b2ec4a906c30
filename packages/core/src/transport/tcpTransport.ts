import { createServer, connect, type Server, type Socket } from "node:net";
import type { Frame } from "../gen/cranetrack_pb.js";
import type { LogBuffer } from "../runtime/logBuffer.js";
import type { Transport, Urgency } from "./transport.js";
import { TcpConnection } from "./tcpConnection.js";

/** Sends frames over persistent TCP connections: one outgoing per address, any number of incoming ones. */
export class TcpTransport implements Transport {
  /** Milliseconds that an attempt to connect may take. */
  static readonly connectTimeoutMs = 1000;
  /** First delay in milliseconds between attempts to reach an address; doubles with each failure up to the maximum. */
  static readonly retryDelayMs = 40;
  static readonly maxRetryDelayMs = 500;

  readonly address: string;
  readonly #listenAddress: string;
  readonly #server: Server;
  readonly #log: LogBuffer;
  readonly #outgoing = new Map<string, TcpConnection>();
  readonly #incoming = new Set<TcpConnection>();
  /** Invariant: an address is in here only while the latest attempt to reach it has failed. */
  readonly #unreachable = new Map<string, { attempts: number; retryAt: number }>();
  #frameHandler: (frame: Frame) => void = () => undefined;
  #lossHandler: (address: string) => void = () => undefined;
  /** Connections closed since the process started because they sent a garbled frame. */
  garbled = 0;

  constructor(address: string, log: LogBuffer, listen = address) {
    this.address = address;
    this.#listenAddress = listen;
    this.#log = log;
    this.#server = createServer((socket) => this.#accept(socket));
    this.#server.on("error", (fault) => this.#log.warn("the listening socket failed", { fault: fault.message }));
  }

  listen(): Promise<void> {
    const [host, port] = TcpTransport.splitAddress(this.#listenAddress);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  onFrame(handler: (frame: Frame) => void): void {
    this.#frameHandler = handler;
  }

  onLost(handler: (address: string) => void): void {
    this.#lossHandler = handler;
  }

  drop(address: string): void {
    this.#outgoing.get(address)?.close();
  }

  /** False until the next attempt is due; from then on a call tries the address. */
  isReachable(address: string): boolean {
    const failed = this.#unreachable.get(address);
    return failed === undefined || performance.now() >= failed.retryAt;
  }

  send(address: string, bytes: Uint8Array, urgency: Urgency = "awaited"): void {
    let connection = this.#outgoing.get(address);
    if (connection === undefined) {
      const failed = this.#unreachable.get(address);
      if (failed !== undefined && performance.now() < failed.retryAt)
        return void setImmediate(() => this.#lossHandler(address));
      connection = this.#open(address);
    }
    connection.send(bytes, urgency);
  }

  /** Bytes queued for an address. */
  waitingBytes(address: string): number {
    return this.#outgoing.get(address)?.waitingBytes ?? 0;
  }

  close(): void {
    this.#server.close();
    for (const connection of [...this.#outgoing.values(), ...this.#incoming]) connection.close();
  }

  static splitAddress(address: string): [string, number] {
    const colon = address.lastIndexOf(":");
    return [address.slice(0, colon), Number(address.slice(colon + 1))];
  }

  #open(address: string): TcpConnection {
    const [host, port] = TcpTransport.splitAddress(address);
    const socket = connect({ host, port, noDelay: true });
    const connection = new TcpConnection(socket, (frame) => this.#frameHandler(frame), true);
    this.#outgoing.set(address, connection);
    const connectTimer = setTimeout(() => connection.close(), TcpTransport.connectTimeoutMs);
    let isConnected = false;
    socket.once("connect", () => {
      clearTimeout(connectTimer);
      isConnected = true;
      this.#unreachable.delete(address);
    });
    connection.onClose((isGarbled) => {
      clearTimeout(connectTimer);
      if (isGarbled) this.#onGarbled(address);
      if (this.#outgoing.get(address) !== connection) return;
      this.#outgoing.delete(address);
      // The reset of an established connection does not mean that the next one will fail.
      if (isConnected && !connection.isSilent) return this.#lossHandler(address);
      const attempts = (this.#unreachable.get(address)?.attempts ?? 0) + 1;
      const delayMs =
        Math.min(TcpTransport.retryDelayMs * 2 ** (attempts - 1), TcpTransport.maxRetryDelayMs) * (0.5 + Math.random());
      this.#unreachable.set(address, { attempts, retryAt: performance.now() + delayMs });
      this.#lossHandler(address);
    });
    return connection;
  }

  #accept(socket: Socket): void {
    socket.setNoDelay(true);
    // TCP keep-alive detects a peer that disappeared without closing the connection.
    socket.setKeepAlive(true, 10_000);
    const connection = new TcpConnection(socket, (frame) => this.#frameHandler(frame), false);
    this.#incoming.add(connection);
    connection.onClose((isGarbled) => {
      this.#incoming.delete(connection);
      if (isGarbled) this.#onGarbled(String(socket.remoteAddress));
    });
  }

  #onGarbled(peer: string): void {
    this.garbled += 1;
    this.#log.warn("closed a connection that sent a garbled frame", { peer });
  }
}
