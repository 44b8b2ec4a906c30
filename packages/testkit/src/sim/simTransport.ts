import type { Frame } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { Transport } from "@cranetrack/core/transport/transport.js";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import type { SimBody } from "./simClock.js";
import { processorCosts } from "./simProcessor.js";
import type { SimWorld } from "./simWorld.js";

interface Port {
  address: string;
  body: SimBody;
  take: (frame: Frame) => void;
  lost: (address: string) => void;
  unreachable: Set<string>;
}
/** What becomes of one frame: nothing special where undefined. */
export type Mutate = (
  from: string,
  to: string,
  bytes: Uint8Array,
) => Array<{ bytes: Uint8Array; delay: number }> | undefined;

/** The wires between all machines: latency, loss, one-way cuts, slowness, and mutated frames. */
export class SimWires {
  readonly #world: SimWorld;
  readonly #ports = new Map<string, Port>();
  readonly #cuts = new Set<string>();
  /** Ways on which whoever sends hears at once that nobody is there; each is cut as well. */
  readonly #refusals = new Set<string>();
  readonly #lastAt = new Map<string, number>();
  /** How often the connection between two was reset. */
  readonly #resets = new Map<string, number>();
  readonly slow = new Map<string, number>();
  loss = 0;
  mutate: Mutate | undefined;
  frames = 0;

  constructor(world: SimWorld) {
    this.#world = world;
  }

  attach(address: string, body: SimBody): Transport {
    const port: Port = { address, body, take: () => undefined, lost: () => undefined, unreachable: new Set() };
    this.#ports.set(address, port);
    return {
      address,
      send: (to, bytes) => {
        if (body.isDead) return;
        body.processor?.charge(processorCosts.frameSent + (bytes.length / 1024) * processorCosts.kilobyte);
        this.#send(port, address, to, bytes);
      },
      isReachable: (to) => !port.unreachable.has(to),
      onFrame: (take) => void (port.take = take),
      onLost: (lost) => void (port.lost = lost),
      drop: () => undefined,
    };
  }

  /** The process at an address is gone: whoever held a connection to it hears so. */
  detach(address: string): void {
    this.#ports.delete(address);
    for (const [other, port] of this.#ports)
      if (!this.#cuts.has(`${address}>${other}`))
        this.#world.at(this.#world.now + 1, () => this.#notifyLost(port, address));
  }

  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
  }

  /** Cuts two off from one another by refusing their connections, those that are up as well. */
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
    this.slow.clear();
    this.loss = 0;
    this.mutate = undefined;
  }

  /** Resets the connection between two: what is on its way is lost, and both hear of it. */
  reset(one: string, other: string): void {
    for (const [from, to] of [
      [one, other],
      [other, one],
    ] as const) {
      const key = `${from}>${to}`;
      this.#resets.set(key, (this.#resets.get(key) ?? 0) + 1);
      const port = this.#ports.get(from);
      if (port !== undefined) this.#world.at(this.#world.now + 1, () => this.#notifyReset(port, to));
    }
  }

  #notifyReset(port: Port, address: string): void {
    if (port.body.isDead) return;
    if (port.body.pausedUntil <= this.#world.now) return port.lost(address);
    this.#world.at(port.body.pausedUntil, () => this.#notifyReset(port, address));
  }

  get isTroubled(): boolean {
    return this.#cuts.size > 0 || this.slow.size > 0 || this.loss > 0;
  }

  mend(from: string, to: string): void {
    this.#cuts.delete(`${from}>${to}`);
  }

  isCut(from: string, to: string): boolean {
    return this.#cuts.has(`${from}>${to}`);
  }

  #notifyLost(port: Port, address: string): void {
    const isThere = this.#ports.has(address) && !this.#refusals.has(`${port.address}>${address}`);
    if (port.body.isDead || isThere) return;
    if (port.body.pausedUntil > this.#world.now)
      return void this.#world.at(port.body.pausedUntil, () => this.#notifyLost(port, address));
    port.unreachable.add(address);
    port.lost(address);
  }

  #send(port: Port, from: string, to: string, bytes: Uint8Array): void {
    this.frames += 1;
    if (!this.#ports.has(to)) {
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
    const slowness = (this.slow.get(from) ?? 0) + (this.slow.get(to) ?? 0);
    const key = `${from}>${to}`;
    const leavesAt = this.#ports.get(from)?.body.processor?.busyUntil ?? this.#world.now;
    const wanted = leavesAt + delay + this.#world.random.between(0.2, 2) + slowness * this.#world.random.draw();
    const at = delay > 0 ? wanted : Math.max(wanted, this.#lastAt.get(key) ?? 0);
    if (delay === 0) this.#lastAt.set(key, at);
    const resets = this.#resets.get(key);
    this.#world.at(at, () => {
      if (this.#resets.get(key) === resets) this.#arrive(key, to, bytes);
    });
  }

  #arrive(key: string, to: string, bytes: Uint8Array): void {
    const port = this.#ports.get(to);
    if (port === undefined || port.body.isDead || this.#cuts.has(key)) return;
    if (port.body.pausedUntil > this.#world.now)
      return void this.#world.at(port.body.pausedUntil, () => this.#arrive(key, to, bytes));
    this.#world.digestEvent(`${this.#world.now} ${key} `);
    this.#world.digestEvent(bytes);
    const frame = Wire.decode(bytes);
    if (frame === undefined) return;
    const { processor } = port.body;
    if (processor === undefined) return port.take(frame);
    const costMs = processorCosts.frameReceived + (bytes.length / 1024) * processorCosts.kilobyte;
    processor.run(costMs, () => {
      if (!port.body.isDead) port.take(frame);
    });
  }
}
