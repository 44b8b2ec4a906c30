import { SettingsReader, type Settings } from "@cranetrack/core/runtime/settings.js";
import type { Machine } from "../fleet/deployments.js";
import type { LossBudget } from "./lossBudget.js";
import { SimDisk } from "./simDisk.js";
import { SimNode } from "./simNode.js";
import { SimPort } from "./simPort.js";
import { SimProcessor } from "./simProcessor.js";
import { SimWires } from "./simTransport.js";
import { SimWorld } from "./simWorld.js";

/** A simulated machine: its disk, its settings, and the process that runs on it. */
interface MachineSlot {
  machine: Machine;
  settings: Settings;
  disk: SimDisk;
  process: SimNode | undefined;
  incarnations: number;
  rate: number;
  /** Share of a processor core; undefined if work takes no virtual time. */
  processorShare: number | undefined;
  /** Offset of its wall clock in ms; only the incarnation number of its next process is derived from it. */
  wallClockOffsetMs: number;
  /** Whether it was ever started, and whether it was removed for good. */
  isUsed: boolean;
  isRetired: boolean;
}

/** A whole fleet in one process and one thread, under virtual time. */
export class SimFleet {
  /** Wall clock time at the start of a run, in ms. */
  static readonly epochMs = 1_000_000;

  readonly world: SimWorld;
  readonly wires: SimWires;
  readonly port: SimPort;
  /** Spaces disk losses by time; without it, each loss must be repaired before the next. */
  lossBudget: LossBudget | undefined;
  #reservedUntil = 0;
  /** Invariant violations counted by processes that have ended, as `name invariant count`. */
  readonly #violations: string[] = [];
  readonly #slots = new Map<string, MachineSlot>();
  readonly #sharedSettings: { seeds: Settings["seeds"]; shards: number; controlNodes: number };

  constructor(seed: number, machines: readonly Machine[], shards = 4) {
    this.world = new SimWorld(seed);
    this.wires = new SimWires(this.world);
    this.port = new SimPort(this);
    const seeds = machines.slice(0, 3).map((_, i) => `10.0.0.${i + 1}:1` as const);
    this.#sharedSettings = { seeds, shards, controlNodes: machines.filter((one) => one.role === "lathe").length };
    for (const machine of machines) this.addMachine(machine);
  }

  /** Adds a machine with an empty disk, at an address never used before; does not start it. */
  addMachine(machine: Machine): void {
    const { settings, ...own } = machine;
    const host = `10.0.0.${this.#slots.size + 1}`;
    const read = SettingsReader.check({
      ...own,
      address: `${host}:1`,
      http: `${host}:2`,
      ...this.#sharedSettings,
      ...(machine.role === "vise" ? {} : { data: "simulated" }),
      ...settings,
    });
    if ("problems" in read) throw new Error(read.problems.join());
    this.#slots.set(machine.name, {
      machine,
      settings: read.settings,
      disk: new SimDisk(this.world),
      process: undefined,
      incarnations: 0,
      rate: 1,
      processorShare: undefined,
      wallClockOffsetMs: 0,
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
    return this.#slots.get(name)?.process;
  }

  diskOf(name: string): SimDisk {
    return this.#slots.get(name)!.disk;
  }

  machineOf(name: string): Machine {
    return this.#slots.get(name)!.machine;
  }

  /** Sets the seed nodes in all machines' settings, effective from their next start. */
  setSeeds(names: readonly string[]): void {
    const seeds = names.map((name) => this.#slots.get(name)!.settings.address);
    this.#sharedSettings.seeds = seeds;
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
    if (slot.process !== undefined) return slot.process;
    slot.incarnations += 1;
    slot.isUsed = true;
    const startedAt = SimFleet.epochMs + Math.floor(this.world.now + slot.wallClockOffsetMs) + slot.incarnations;
    const { rate, processorShare } = slot;
    const machine = { rate, processorShare };
    slot.process = new SimNode(this.world, this.wires, slot.disk, slot.settings, startedAt, machine);
    return slot.process;
  }

  /** Changes settings of a machine, effective from its next start. */
  configure(name: string, settings: Partial<Settings>): void {
    Object.assign(this.#slots.get(name)!.settings, settings);
  }

  /** Starts a machine, unless it was never started before or was removed for good. */
  revive(name: string): void {
    const slot = this.#slots.get(name)!;
    if (slot.isUsed && !slot.isRetired) this.start(name);
  }

  isUsed(name: string): boolean {
    const { isUsed, isRetired } = this.#slots.get(name)!;
    return isUsed && !isRetired;
  }

  /** Kills a machine for good and wipes its disk. */
  removeForGood(name: string): void {
    this.wipe(name);
    this.#slots.get(name)!.isRetired = true;
  }

  /** Asks a process to stop; its machine is never started again. */
  stopForGood(name: string): void {
    this.#slots.get(name)!.isRetired = true;
    this.stopGracefully(name);
  }

  isRetired(name: string): boolean {
    return this.#slots.get(name)!.isRetired;
  }

  /** Moves a machine's wall clock by `ms`; its monotonic clock is unaffected. */
  stepWallClock(name: string, ms: number): void {
    this.#slots.get(name)!.wallClockOffsetMs += ms;
  }

  /** Sets the rate of a machine's clock, effective from its next start. */
  setRate(name: string, rate: number): void {
    this.#slots.get(name)!.rate = rate;
  }

  /** Sets the share of a core that a machine's process has, effective at once and after restarts. */
  setProcessorShare(name: string, share: number): void {
    const slot = this.#slots.get(name)!;
    slot.processorShare = share;
    if (slot.process !== undefined) slot.process.processState.processor = new SimProcessor(this.world, share);
  }

  /** The control node that is leader of the metadata store by its own state and is not paused. */
  get leader(): string | undefined {
    return this.withRole("lathe").find((name) => {
      const running = this.find(name);
      return running?.control?.raft?.isLeader === true && running.processState.pausedUntil <= this.world.now;
    });
  }

  /** Invariant violations counted by all processes so far, as `name invariant count`. */
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

  /** The leader of the first shard that has one, as the store's leader sees it. */
  get shardLeader(): string | undefined {
    const { leader } = this;
    const routes = leader === undefined ? [] : this.find(leader)!.node.shards.all();
    return routes.map(([, route]) => route.leader).find((leaderName) => leaderName !== "");
  }

  /** Whether one more disk may be lost: by the loss budget, or without one, once all earlier losses are repaired. */
  get mayLoseDisk(): boolean {
    return this.lossBudget === undefined ? this.isFullyReplicated : this.lossBudget.allowsLoss;
  }

  /** Reserves the next disk loss for `ms`, in which no other may be reserved; false if no loss is allowed now. */
  reserveLoss(ms: number): boolean {
    if (this.world.now < this.#reservedUntil || !this.mayLoseDisk) return false;
    this.#reservedUntil = this.world.now + ms;
    return true;
  }

  /** Whether all replica sets and the voters are complete on running machines, so that no loss awaits repair. */
  get isFullyReplicated(): boolean {
    const { leader } = this;
    if (leader === undefined) return false;
    const processes = this.names.map((name) => this.find(name)).filter((running) => running !== undefined);
    const diskIds = new Set(processes.flatMap(({ control, storage }) => (control?.storage ?? storage)?.diskId ?? []));
    const controlNodes = new Set(processes.flatMap(({ control }) => control?.founding.diskId ?? []));
    const { node, control } = this.find(leader)!;
    const sets = node.shards.all().map(([, route]) => route.set?.members ?? []);
    const voters = control!.raft!.members.voters.map((one) => one.id);
    return (
      sets.every(
        (members) =>
          members.length === node.parts.settings.replicas && members.every((member) => diskIds.has(member.id)),
      ) &&
      voters.length === node.parts.settings.voters &&
      voters.every((id) => controlNodes.has(id))
    );
  }

  /** The machine loses power: unsynced writes may be lost. */
  kill(name: string): void {
    this.#endProcess(name, (disk) => disk.losePower());
  }

  /** The process is killed and its machine keeps running: no write is lost, unless the disk is full. */
  crash(name: string): void {
    this.#endProcess(name, (disk) => disk.endProcess());
  }

  #endProcess(name: string, onDisk: (disk: SimDisk) => void): void {
    const slot = this.#slots.get(name)!;
    if (slot.process === undefined) return;
    slot.process.end();
    this.#violations.push(...SimFleet.#violationsOf(name, slot.process));
    slot.process = undefined;
    onDisk(slot.disk);
    this.wires.detach(slot.settings.address);
  }

  /** Kills a machine and erases its disk. */
  wipe(name: string): void {
    this.kill(name);
    this.diskOf(name).wipe();
  }

  /** Asks the process to stop, and kills it after six seconds. */
  stopGracefully(name: string): void {
    const running = this.find(name);
    if (running === undefined) return;
    const end = (): void => {
      if (this.find(name) === running) this.kill(name);
    };
    void running.stop().then(end);
    this.world.at(this.world.now + 6000, end);
  }

  /** Pauses the process for `ms`: nothing runs or arrives on it meanwhile. */
  pause(name: string, ms: number): void {
    const running = this.find(name);
    if (running !== undefined)
      running.processState.pausedUntil = Math.max(running.processState.pausedUntil, this.world.now + ms);
  }

  /** Cuts the links between a node and others, in one direction or both. */
  isolate(name: string, others: readonly string[], direction: "in" | "out" | "both"): void {
    for (const other of others) {
      if (other === name) continue;
      if (direction !== "in") this.wires.cut(this.addressOf(name), this.addressOf(other));
      if (direction !== "out") this.wires.cut(this.addressOf(other), this.addressOf(name));
    }
  }

  /** Advances virtual time by `ms`. */
  run(ms: number): Promise<void> {
    return this.world.run(this.world.now + ms);
  }

  /** Runs until a condition holds; false if it does not within `timeoutMs`. */
  async until(holds: () => boolean, timeoutMs: number): Promise<boolean> {
    const deadline = this.world.now + timeoutMs;
    while (!holds()) {
      if (this.world.now >= deadline) return false;
      await this.run(50);
    }
    return true;
  }
}
