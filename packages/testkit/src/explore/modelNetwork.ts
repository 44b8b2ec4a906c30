import type { Frame } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import type { Transport } from "@cranetrack/core/transport/transport.js";

/** Frames under way between machines, in the order they were sent, until each is delivered, lost or sent again. */
export class ModelNetwork {
  /** More than so many frames under way from one machine to another: the oldest is lost. */
  static readonly channelFrames = 6;

  readonly #channels = new Map<string, Uint8Array[]>();
  readonly #cuts = new Set<string>();
  readonly #takers = new Map<string, (frame: Frame) => void>();
  readonly #onSend: (from: string, to: string, frame: Frame) => void;
  overflows = 0;

  constructor(onSend: (from: string, to: string, frame: Frame) => void) {
    this.#onSend = onSend;
  }

  attach(address: string, isUp: () => boolean): Transport {
    return {
      address,
      send: (to, bytes) => {
        if (isUp()) this.#send(address, to, bytes);
      },
      isReachable: () => true,
      onFrame: (take) => void this.#takers.set(address, take),
      onLost: () => undefined,
      drop: () => undefined,
    };
  }

  /** The process at an address is gone; what was sent to it stays under way. */
  detach(address: string): void {
    this.#takers.delete(address);
  }

  count(from: string, to: string): number {
    return this.#channels.get(`${from}>${to}`)?.length ?? 0;
  }

  /** Takes a frame from its channel: the bytes, to be delivered or not. */
  take(from: string, to: string, nth: number): Uint8Array {
    return this.#channels.get(`${from}>${to}`)!.splice(nth, 1)[0]!;
  }

  duplicate(from: string, to: string, nth: number): void {
    const frames = this.#channels.get(`${from}>${to}`)!;
    frames.push(frames[nth]!);
    if (frames.length > ModelNetwork.channelFrames) frames.shift();
  }

  /** Hands bytes over; the frame that they are, where anybody took it. */
  deliver(to: string, bytes: Uint8Array): Frame | undefined {
    const frame = Wire.decode(bytes);
    const take = this.#takers.get(to);
    if (frame === undefined || take === undefined) return undefined;
    take(frame);
    return frame;
  }

  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
  }

  mend(from: string, to: string): void {
    this.#cuts.delete(`${from}>${to}`);
  }

  isCut(from: string, to: string): boolean {
    return this.#cuts.has(`${from}>${to}`);
  }

  /** All that is under way and all cuts, in a fixed order. */
  text(): string {
    const channels = [...this.#channels].filter(([, frames]) => frames.length > 0).sort(([a], [b]) => (a < b ? -1 : 1));
    const frames = channels.map(
      ([name, list]) => `${name}:${list.map((bytes) => Buffer.from(bytes).toString("latin1")).join("|")}`,
    );
    return `${[...this.#cuts].sort().join()};${frames.join(";")}`;
  }

  #send(from: string, to: string, bytes: Uint8Array): void {
    const frame = Wire.decode(bytes);
    if (frame === undefined) return;
    this.#onSend(from, to, frame);
    if (this.#cuts.has(`${from}>${to}`)) return;
    const key = `${from}>${to}`;
    const frames = this.#channels.get(key) ?? [];
    this.#channels.set(key, frames);
    frames.push(bytes);
    if (frames.length <= ModelNetwork.channelFrames) return;
    frames.shift();
    this.overflows += 1;
  }
}
