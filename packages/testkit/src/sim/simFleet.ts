import { SettingsReader, type Settings } from "@cranetrack/core/runtime/settings.js";
import type { Machine } from "../fleet/deployments.js";
import type { LossBudget } from "./lossBudget.js";
import { SimDisk } from "./simDisk.js";
import { SimNode } from "./simNode.js";
import { SimPort } from "./simPort.js";
import { SimProcessor } from "./simProcessor.js";
import { SimWires } from "./simTransport.js";
import { SimWorld } from "./simWorld.js";

interface Slot {
  machine: Machine;
  settings: Settings;
  disk: SimDisk;
  running: SimNode | undefined;
  incarnations: number;
  rate: number;
  /** Of a core; undefined where its work takes no time. */
  processorShare: number | undefined;
  /** How far its time of day is off; only the number of a process's life comes of it. */
  wallMs: number;
  /** Whether it was ever started; and whether it is gone for good. */
  isUsed: boolean;
  isRetired: boolean;
}

/** A whole fleet in one process and one thread, under virtual time. */
export class SimFleet {
  static readonly epochMs = 1_000_000;

  readonly world: SimWorld;
  readonly wires: SimWires;
  readonly port: SimPort;
  /** How losses are counted; none given, each is mended before the next. */
  budget: LossBudget | undefined;
  #reservedUntil = 0;
  /** Invariants that processes which are gone counted as violated, as `name invariant count`. */
  readonly #violations: string[] = [];
  readonly #slots = new Map<string, Slot>();
  readonly #shared: { seeds: Settings["seeds"]; shards: number; controlNodes: number };

  constructor(seed: number, machines: readonly Machine[], shards = 4) {
    this.world = new SimWorld(seed);
    this.wires = new SimWires(this.world);
    this.port = new SimPort(this);
    const seeds = machines.slice(0, 3).map((_, i) => `10.0.0.${i + 1}:1` as const);
    this.#shared = { seeds, shards, controlNodes: machines.filter((one) => one.role === "lathe").length };
    for (const machine of machines) this.enlist(machine);
  }

  /** A machine with an empty disk, at an address that nobody had before. */
  enlist(machine: Machine): void {
    const { settings, ...own } = machine;
    const host = `10.0.0.${this.#slots.size + 1}`;
    const read = SettingsReader.check({
      ...own,
      address: `${host}:1`,
      http: `${host}:2`,
      ...this.#shared,
      ...(machine.role === "vise" ? {} : { data: "simulated" }),
      ...settings,
    });
    if ("problems" in read) throw new Error(read.problems.join());
    this.#slots.set(machine.name, {
      machine,
      settings: read.settings,
      disk: new SimDisk(this.world),
      running: undefined,
      incarnations: 0,
      rate: 1,
      processorShare: undefined,
      wallMs: 0,
      isUsed: false,
      isRetired: false,
    });
  }

  get names(): string[] {
    return [...this.#slots.keys()];
  }

  withRole(role: Machine["role"]): string[] {
    return this.names.filter((name) => this.#slots.get(name)!.machine.role === role);
  }

  find(name: string): SimNode | undefined {
    return this.#slots.get(name)?.running;
  }

  diskOf(name: string): SimDisk {
    return this.#slots.get(name)!.disk;
  }

  machineOf(name: string): Machine {
    return this.#slots.get(name)!.machine;
  }

  /** Whom all machines are told to ask first, from their next start on. */
  seed(names: readonly string[]): void {
    const seeds = names.map((name) => this.#slots.get(name)!.settings.address);
    this.#shared.seeds = seeds;
    for (const { settings } of this.#slots.values()) settings.seeds = seeds;
  }

  zoneOf(name: string): string {
    return this.#slots.get(name)!.machine.zone;
  }

  addressOf(name: string): string {
    return this.#slots.get(name)!.settings.address;
  }

  startAll(): void {
    for (const name of this.names) this.start(name);
  }

  start(name: string): SimNode {
    const slot = this.#slots.get(name)!;
    if (slot.running !== undefined) return slot.running;
    slot.incarnations += 1;
    slot.isUsed = true;
    const startedAt = SimFleet.epochMs + Math.floor(this.world.now + slot.wallMs) + slot.incarnations;
    const { rate, processorShare } = slot;
    const machine = { rate, processorShare };
    slot.running = new SimNode(this.world, this.wires, slot.disk, slot.settings, startedAt, machine);
    return slot.running;
  }

  /** Other settings, from its next start on. */
  configure(name: string, settings: Partial<Settings>): void {
    Object.assign(this.#slots.get(name)!.settings, settings);
  }

  /** Starts what was started before and is not gone for good. */
  revive(name: string): void {
    const slot = this.#slots.get(name)!;
    if (slot.isUsed && !slot.isRetired) this.start(name);
  }

  isUsed(name: string): boolean {
    const { isUsed, isRetired } = this.#slots.get(name)!;
    return isUsed && !isRetired;
  }

  /** Gone for good, with its disk. */
  retire(name: string): void {
    this.wipe(name);
    this.#slots.get(name)!.isRetired = true;
  }

  /** Asked politely to go for good: whatever ends it, it is not started again. */
  dismiss(name: string): void {
    this.#slots.get(name)!.isRetired = true;
    this.cycle(name);
  }

  isRetired(name: string): boolean {
    return this.#slots.get(name)!.isRetired;
  }

  /** Its time of day jumps; clocks that only go on are not touched. */
  stepWall(name: string, ms: number): void {
    this.#slots.get(name)!.wallMs += ms;
  }

  /** How fast a machine's clock runs, from its next start on. */
  setRate(name: string, rate: number): void {
    this.#slots.get(name)!.rate = rate;
  }

  /** Which share of a core a machine's process has, at once and from its next start on. */
  setProcessorShare(name: string, share: number): void {
    const slot = this.#slots.get(name)!;
    slot.processorShare = share;
    if (slot.running !== undefined) slot.running.body.processor = new SimProcessor(this.world, share);
  }

  /** The control node that proposes and knows that it does. */
  get leader(): string | undefined {
    return this.withRole("lathe").find((name) => {
      const running = this.find(name);
      return running?.control?.raft?.isLeader === true && running.body.pausedUntil <= this.world.now;
    });
  }

  /** What all processes so far counted as violated, as `name invariant count`. */
  get violations(): string[] {
    const alive = this.names.flatMap((name) => {
      const running = this.find(name);
      return running === undefined ? [] : SimFleet.#violationsOf(name, running);
    });
    return [...this.#violations, ...alive];
  }

  static #violationsOf(name: string, { node }: SimNode): string[] {
    return Object.entries(node.invariants.counts())
      .filter(([, count]) => count > 0)
      .map(([invariant, count]) => `${name} ${invariant} ${count}`);
  }

  /** Whoever holds some shard, as the leader sees it. */
  get leaderName(): string | undefined {
    const { leader } = this;
    const routes = leader === undefined ? [] : this.find(leader)!.node.shards.all();
    return routes.map(([, route]) => route.leader).find((leaderName) => leaderName !== "");
  }

  /** Whether one more disk may be lost: by the time since the last loss, or else once all before are mended. */
  get mayLose(): boolean {
    return this.budget === undefined ? this.isWhole : this.budget.isFree;
  }

  /** Says that one disk will be lost within a while, and no other before that; false where that may not be. */
  reserveLoss(ms: number): boolean {
    if (this.world.now < this.#reservedUntil || !this.mayLose) return false;
    this.#reservedUntil = this.world.now + ms;
    return true;
  }

  /** Every disk that anything was promised on is there: no loss is still to be mended. */
  get isWhole(): boolean {
    const { leader } = this;
    if (leader === undefined) return false;
    const running = this.names.map((name) => this.find(name)).filter((running) => running !== undefined);
    const shelves = new Set(running.flatMap(({ control, storage }) => (control?.storage ?? storage)?.diskId ?? []));
    const controlNodes = new Set(running.flatMap(({ control }) => control?.founding.id ?? []));
    const { node, control } = this.find(leader)!;
    const sets = node.shards.all().map(([, route]) => route.set?.members ?? []);
    const voters = control!.raft!.members.voters.map((one) => one.id);
    return (
      sets.every(
        (members) =>
          members.length === node.parts.settings.replicas && members.every((member) => shelves.has(member.id)),
      ) &&
      voters.length === node.parts.settings.voters &&
      voters.every((id) => controlNodes.has(id))
    );
  }

  /** The machine's power is gone at once. */
  kill(name: string): void {
    this.#end(name, (disk) => disk.fall());
  }

  /** The process is gone at once, and its machine goes on. */
  crash(name: string): void {
    this.#end(name, (disk) => disk.keep());
  }

  #end(name: string, leave: (disk: SimDisk) => void): void {
    const slot = this.#slots.get(name)!;
    if (slot.running === undefined) return;
    slot.running.fall();
    this.#violations.push(...SimFleet.#violationsOf(name, slot.running));
    slot.running = undefined;
    leave(slot.disk);
    this.wires.detach(slot.settings.address);
  }

  /** Loses the process and the disk of a machine. */
  wipe(name: string): void {
    this.kill(name);
    this.diskOf(name).wipe();
  }

  /** Asked politely, killed six seconds later. */
  cycle(name: string): void {
    const running = this.find(name);
    if (running === undefined) return;
    const end = (): void => {
      if (this.find(name) === running) this.kill(name);
    };
    void running.stop().then(end);
    this.world.at(this.world.now + 6000, end);
  }

  /** Freezes the process: nothing runs or arrives until it goes on. */
  pause(name: string, ms: number): void {
    const running = this.find(name);
    if (running !== undefined) running.body.pausedUntil = Math.max(running.body.pausedUntil, this.world.now + ms);
  }

  /** Cuts a node from others, one way or both. */
  isolate(name: string, others: readonly string[], ways: "in" | "out" | "both"): void {
    for (const other of others) {
      if (other === name) continue;
      if (ways !== "in") this.wires.cut(this.addressOf(name), this.addressOf(other));
      if (ways !== "out") this.wires.cut(this.addressOf(other), this.addressOf(name));
    }
  }

  /** Lets virtual time pass. */
  run(ms: number): Promise<void> {
    return this.world.run(this.world.now + ms);
  }

  /** Runs until something holds, or a due passes; true where it held. */
  async until(holds: () => boolean, timeoutMs: number): Promise<boolean> {
    const deadline = this.world.now + timeoutMs;
    while (!holds()) {
      if (this.world.now >= deadline) return false;
      await this.run(50);
    }
    return true;
  }
}
