import { createServer, connect, type Server, type Socket } from "node:net";
import type { Frame } from "../gen/cranetrack_pb.js";
import type { LogBuffer } from "../runtime/logBuffer.js";
import type { Transport, Urgency } from "./transport.js";
import { TcpConnection } from "./tcpConnection.js";

/** Frames over held TCP connections: one outward connection an address, as many inward as come. */
export class TcpTransport implements Transport {
  static readonly connectTimeoutMs = 1000;
  /** Pauses between tries to reach an address: the first, doubled with every failure, up to the longest. */
  static readonly pauseMs = 40;
  static readonly maxPauseMs = 500;

  readonly address: string;
  readonly #listen: string;
  readonly #server: Server;
  readonly #log: LogBuffer;
  readonly #outward = new Map<string, TcpConnection>();
  readonly #inward = new Set<TcpConnection>();
  /** Invariant: an address is in here only while the latest try to reach it failed. */
  readonly #unreachable = new Map<string, { tries: number; againAt: number }>();
  #take: (frame: Frame) => void = () => undefined;
  #lost: (address: string) => void = () => undefined;
  /** Garbled connections closed since the start. */
  garbled = 0;

  constructor(address: string, log: LogBuffer, listen = address) {
    this.address = address;
    this.#listen = listen;
    this.#log = log;
    this.#server = createServer((socket) => this.#admit(socket));
    this.#server.on("error", (fault) => this.#log.warn("the listening socket failed", { fault: fault.message }));
  }

  listen(): Promise<void> {
    const [host, port] = TcpTransport.split(this.#listen);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => resolve());
    });
  }

  onFrame(take: (frame: Frame) => void): void {
    this.#take = take;
  }

  onLost(take: (address: string) => void): void {
    this.#lost = take;
  }

  drop(address: string): void {
    this.#outward.get(address)?.close();
  }

  /** False while the next try is not due yet: then a call finds out. */
  isReachable(address: string): boolean {
    const failed = this.#unreachable.get(address);
    return failed === undefined || performance.now() >= failed.againAt;
  }

  send(address: string, bytes: Uint8Array, urgency: Urgency = "awaited"): void {
    let connection = this.#outward.get(address);
    if (connection === undefined) {
      const failed = this.#unreachable.get(address);
      if (failed !== undefined && performance.now() < failed.againAt)
        return void setImmediate(() => this.#lost(address));
      connection = this.#open(address);
    }
    connection.send(bytes, urgency);
  }

  /** Bytes that wait for an address. */
  waiting(address: string): number {
    return this.#outward.get(address)?.waiting ?? 0;
  }

  close(): void {
    this.#server.close();
    for (const connection of [...this.#outward.values(), ...this.#inward]) connection.close();
  }

  static split(address: string): [string, number] {
    const cut = address.lastIndexOf(":");
    return [address.slice(0, cut), Number(address.slice(cut + 1))];
  }

  #open(address: string): TcpConnection {
    const [host, port] = TcpTransport.split(address);
    const socket = connect({ host, port, noDelay: true });
    const connection = new TcpConnection(socket, (frame) => this.#take(frame), true);
    this.#outward.set(address, connection);
    const giveUp = setTimeout(() => connection.close(), TcpTransport.connectTimeoutMs);
    let isConnected = false;
    socket.once("connect", () => {
      clearTimeout(giveUp);
      isConnected = true;
      this.#unreachable.delete(address);
    });
    connection.onClose((isGarbled) => {
      clearTimeout(giveUp);
      if (isGarbled) this.#count(address);
      if (this.#outward.get(address) !== connection) return;
      this.#outward.delete(address);
      // A connection that was there and is reset says nothing of the next one.
      if (isConnected && !connection.isSilent) return this.#lost(address);
      const tries = (this.#unreachable.get(address)?.tries ?? 0) + 1;
      const pause = Math.min(TcpTransport.pauseMs * 2 ** (tries - 1), TcpTransport.maxPauseMs) * (0.5 + Math.random());
      this.#unreachable.set(address, { tries, againAt: performance.now() + pause });
      this.#lost(address);
    });
    return connection;
  }

  #admit(socket: Socket): void {
    socket.setNoDelay(true);
    // An end that is gone without a word is noticed by the machine, sooner or later.
    socket.setKeepAlive(true, 10_000);
    const connection = new TcpConnection(socket, (frame) => this.#take(frame), false);
    this.#inward.add(connection);
    connection.onClose((isGarbled) => {
      this.#inward.delete(connection);
      if (isGarbled) this.#count(String(socket.remoteAddress));
    });
  }

  #count(peer: string): void {
    this.garbled += 1;
    this.#log.warn("closed a connection that sent a garbled frame", { peer });
  }
}
