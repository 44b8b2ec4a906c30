import type { Frame } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { Transport } from "@cranetrack/core/transport/transport.js";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import type { SimProcessState } from "./simClock.js";
import { processorCosts } from "./simProcessor.js";
import type { SimWorld } from "./simWorld.js";

/** A process that is reachable at an address. */
interface AttachedProcess {
  address: string;
  processState: SimProcessState;
  onFrame: (frame: Frame) => void;
  onLost: (address: string) => void;
  unreachable: Set<string>;
}
/** Decides what is delivered instead of one frame, each copy after a delay in ms; undefined delivers it as usual. */
export type FrameMutator = (
  from: string,
  to: string,
  bytes: Uint8Array,
) => Array<{ bytes: Uint8Array; delay: number }> | undefined;

/** The network between all machines: latency, loss, one-way cuts, slow nodes, resets and mutated frames. */
export class SimWires {
  readonly #world: SimWorld;
  readonly #processes = new Map<string, AttachedProcess>();
  readonly #cuts = new Set<string>();
  /** Directions in which connections are refused, so that the sender learns of it at once; each is also cut. */
  readonly #refusals = new Set<string>();
  readonly #lastArrivalAt = new Map<string, number>();
  /** How often each connection was reset, by direction. */
  readonly #resets = new Map<string, number>();
  /** Upper bound of the additional random latency of an address, in ms. */
  readonly extraLatencyMs = new Map<string, number>();
  /** Share (0 to 1) of the frames that are lost. */
  loss = 0;
  mutate: FrameMutator | undefined;
  sentFrames = 0;

  constructor(world: SimWorld) {
    this.#world = world;
  }

  attach(address: string, processState: SimProcessState): Transport {
    const port: AttachedProcess = {
      address,
      processState,
      onFrame: () => undefined,
      onLost: () => undefined,
      unreachable: new Set(),
    };
    this.#processes.set(address, port);
    return {
      address,
      send: (to, bytes) => {
        if (processState.isDead) return;
        processState.processor?.charge(processorCosts.frameSent + (bytes.length / 1024) * processorCosts.kilobyte);
        this.#send(port, address, to, bytes);
      },
      isReachable: (to) => !port.unreachable.has(to),
      onFrame: (take) => void (port.onFrame = take),
      onLost: (lost) => void (port.onLost = lost),
      drop: () => undefined,
    };
  }

  /** Removes the process at an address; all processes that are not cut off from it are notified. */
  detach(address: string): void {
    this.#processes.delete(address);
    for (const [other, port] of this.#processes)
      if (!this.#cuts.has(`${address}>${other}`))
        this.#world.at(this.#world.now + 1, () => this.#notifyLost(port, address));
  }

  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
  }

  /** Cuts two addresses off from each other: resets their connection and refuses new ones. */
  refuse(one: string, other: string): void {
    this.reset(one, other);
    for (const way of [`${one}>${other}`, `${other}>${one}`]) {
      this.#cuts.add(way);
      this.#refusals.add(way);
    }
  }

  heal(): void {
    this.#cuts.clear();
    this.#refusals.clear();
    this.extraLatencyMs.clear();
    this.loss = 0;
    this.mutate = undefined;
  }

  /** Resets the connection between two addresses: frames in transit are lost, and both ends are notified. */
  reset(one: string, other: string): void {
    for (const [from, to] of [
      [one, other],
      [other, one],
    ] as const) {
      const key = `${from}>${to}`;
      this.#resets.set(key, (this.#resets.get(key) ?? 0) + 1);
      const port = this.#processes.get(from);
      if (port !== undefined) this.#world.at(this.#world.now + 1, () => this.#notifyReset(port, to));
    }
  }

  #notifyReset(port: AttachedProcess, address: string): void {
    if (port.processState.isDead) return;
    if (port.processState.pausedUntil <= this.#world.now) return port.onLost(address);
    this.#world.at(port.processState.pausedUntil, () => this.#notifyReset(port, address));
  }

  get isFaulty(): boolean {
    return this.#cuts.size > 0 || this.extraLatencyMs.size > 0 || this.loss > 0;
  }

  uncut(from: string, to: string): void {
    this.#cuts.delete(`${from}>${to}`);
  }

  isCut(from: string, to: string): boolean {
    return this.#cuts.has(`${from}>${to}`);
  }

  #notifyLost(port: AttachedProcess, address: string): void {
    const isThere = this.#processes.has(address) && !this.#refusals.has(`${port.address}>${address}`);
    if (port.processState.isDead || isThere) return;
    if (port.processState.pausedUntil > this.#world.now)
      return void this.#world.at(port.processState.pausedUntil, () => this.#notifyLost(port, address));
    port.unreachable.add(address);
    port.onLost(address);
  }

  #send(port: AttachedProcess, from: string, to: string, bytes: Uint8Array): void {
    this.sentFrames += 1;
    if (!this.#processes.has(to)) {
      if (!this.#cuts.has(`${to}>${from}`)) this.#world.at(this.#world.now + 1, () => this.#notifyLost(port, to));
      return;
    }
    if (this.#refusals.has(`${from}>${to}`))
      return void this.#world.at(this.#world.now + 1, () => this.#notifyLost(port, to));
    if (!this.#cuts.has(`${from}>${to}`)) port.unreachable.delete(to);
    const copies = this.mutate?.(from, to, bytes);
    if (copies !== undefined) {
      for (const copy of copies) this.#carry(from, to, copy.bytes, copy.delay);
      return;
    }
    if (this.loss > 0 && this.#world.random.draw() < this.loss) return;
    this.#carry(from, to, bytes, 0);
  }

  #carry(from: string, to: string, bytes: Uint8Array, delay: number): void {
    const slowness = (this.extraLatencyMs.get(from) ?? 0) + (this.extraLatencyMs.get(to) ?? 0);
    const key = `${from}>${to}`;
    const leavesAt = this.#processes.get(from)?.processState.processor?.busyUntil ?? this.#world.now;
    const wanted = leavesAt + delay + this.#world.random.between(0.2, 2) + slowness * this.#world.random.draw();
    const at = delay > 0 ? wanted : Math.max(wanted, this.#lastArrivalAt.get(key) ?? 0);
    if (delay === 0) this.#lastArrivalAt.set(key, at);
    const resets = this.#resets.get(key);
    this.#world.at(at, () => {
      if (this.#resets.get(key) === resets) this.#arrive(key, to, bytes);
    });
  }

  #arrive(key: string, to: string, bytes: Uint8Array): void {
    const port = this.#processes.get(to);
    if (port === undefined || port.processState.isDead || this.#cuts.has(key)) return;
    if (port.processState.pausedUntil > this.#world.now)
      return void this.#world.at(port.processState.pausedUntil, () => this.#arrive(key, to, bytes));
    this.#world.digestEvent(`${this.#world.now} ${key} `);
    this.#world.digestEvent(bytes);
    const frame = Wire.decode(bytes);
    if (frame === undefined) return;
    const { processor } = port.processState;
    if (processor === undefined) return port.onFrame(frame);
    const costMs = processorCosts.frameReceived + (bytes.length / 1024) * processorCosts.kilobyte;
    processor.run(costMs, () => {
      if (!port.processState.isDead) port.onFrame(frame);
    });
  }
}
