import type { Frame } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import type { Transport } from "@cranetrack/core/transport/transport.js";

/** Frames in flight between machines. Each channel keeps them in the order they were sent until they are taken out. */
export class ModelNetwork {
  /** Most frames in flight from one machine to another; above it the oldest frame is lost. */
  static readonly channelFrames = 6;

  readonly #channels = new Map<string, Uint8Array[]>();
  readonly #cuts = new Set<string>();
  readonly #receivers = new Map<string, (frame: Frame) => void>();
  readonly #onSend: (from: string, to: string, frame: Frame) => void;
  /** Number of frames lost because a channel was full. */
  overflows = 0;

  constructor(onSend: (from: string, to: string, frame: Frame) => void) {
    this.#onSend = onSend;
  }

  /** The transport of a process at an address; it sends nothing once `isUp` is false. */
  attach(address: string, isUp: () => boolean): Transport {
    return {
      address,
      send: (to, bytes) => {
        if (isUp()) this.#send(address, to, bytes);
      },
      isReachable: () => true,
      onFrame: (receive) => void this.#receivers.set(address, receive),
      onLost: () => undefined,
      drop: () => undefined,
    };
  }

  /** Removes the process at an address; frames sent to it stay in flight. */
  detach(address: string): void {
    this.#receivers.delete(address);
  }

  frameCount(from: string, to: string): number {
    return this.#channels.get(`${from}>${to}`)?.length ?? 0;
  }

  /** Removes a frame from its channel and returns its bytes. */
  take(from: string, to: string, nth: number): Uint8Array {
    return this.#channels.get(`${from}>${to}`)!.splice(nth, 1)[0]!;
  }

  duplicate(from: string, to: string, nth: number): void {
    const frames = this.#channels.get(`${from}>${to}`)!;
    frames.push(frames[nth]!);
    if (frames.length > ModelNetwork.channelFrames) frames.shift();
  }

  /** Hands a frame to the process at an address; undefined if it is garbled or no process is attached there. */
  deliver(to: string, bytes: Uint8Array): Frame | undefined {
    const frame = Wire.decode(bytes);
    const receive = this.#receivers.get(to);
    if (frame === undefined || receive === undefined) return undefined;
    receive(frame);
    return frame;
  }

  /** Loses all frames sent from one machine to another until `mend`; those in flight stay. */
  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
  }

  mend(from: string, to: string): void {
    this.#cuts.delete(`${from}>${to}`);
  }

  isCut(from: string, to: string): boolean {
    return this.#cuts.has(`${from}>${to}`);
  }

  /** All frames in flight and all cuts as text, in a fixed order. */
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
