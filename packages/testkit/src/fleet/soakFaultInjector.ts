import type { Fleet } from "./fleet.js";
import type { SimRandom } from "../sim/simRandom.js";

/** One fault of a process. `from` and `to` are milliseconds since the soak began. */
export interface InjectedFault {
  readonly kind: SoakFaultKind;
  readonly name: string;
  readonly from: number;
  readonly to: number;
}

/** Kinds of faults; a seed draws from this order. */
export const soakFaultKinds = ["kill", "pause", "cut", "lostAnswers", "slow", "reset", "restart", "wipe"] as const;

/** One of the kinds of faults. */
export type SoakFaultKind = (typeof soakFaultKinds)[number];

/**
 * Injects random faults into real processes and their network connections, up to three at a time. A disk is lost only
 * after every machine with a disk has been healthy for the time that the users grant a replacement; all other faults
 * may overlap.
 */
export class SoakFaultInjector {
  static readonly maxConcurrent = 3;
  /** Shortest pause between the starts of two faults. */
  static readonly minPauseMs = 200;
  /** Longest pause between the starts of two faults. */
  static readonly maxPauseMs = 2500;
  /** How long to wait until a process is ready before restarting it, in milliseconds. */
  static readonly readyMs = 5000;
  /** How long all machines with a disk must be healthy before a disk loss: the users' interval plus time to start. */
  static readonly minHealthyMs = 5000;
  /** The users' shortest time from a replacement's start until the next disk loss. */
  static readonly minDiskLossIntervalMs = 4100;
  /** The part of that time that a process takes to start on the users' machines. */
  static readonly assumedStartMs = 500;

  readonly #fleet: Fleet;
  readonly #random: SimRandom;
  readonly #now: () => number;
  readonly #faultyMachines = new Set<string>();
  /** When the last fault of a machine with a disk ended. */
  #disksHealthySince = 0;
  /** All faults that have ended. */
  readonly injected: InjectedFault[] = [];

  constructor(fleet: Fleet, random: SimRandom, now: () => number) {
    this.#fleet = fleet;
    this.#random = random;
    this.#now = now;
  }

  /** Starts random faults until the given time and resolves once all are over. */
  async injectUntil(until: number): Promise<void> {
    this.#disksHealthySince = this.#now();
    const runningFaults = new Set<Promise<void>>();
    while (this.#now() < until) {
      await this.#wait(this.#random.between(SoakFaultInjector.minPauseMs, SoakFaultInjector.maxPauseMs));
      if (runningFaults.size >= SoakFaultInjector.maxConcurrent) continue;
      const fault = this.#startFault();
      if (fault === undefined) continue;
      runningFaults.add(fault);
      void fault.finally(() => runningFaults.delete(fault));
    }
    await Promise.all(runningFaults);
  }

  /**
   * Wipes one disk after the other at the users' shortest interval, and resets connections of random machines
   * meanwhile. The interval is counted from when the process answers, less the start time on the users' machines: on a
   * busy machine a start takes seconds, and the test is to judge the repair, not the start.
   */
  async wipeDisksUntil(until: number): Promise<void> {
    const diskMachines = this.#fleet.names.filter((name) => this.#hasDisk(name));
    while (this.#now() < until) {
      const name = this.#random.pick(diskMachines);
      await this.#runFault("wipe", name);
      await this.#fleet.waitUntilAnswering(name);
      const nextAt = this.#now() + SoakFaultInjector.minDiskLossIntervalMs - SoakFaultInjector.assumedStartMs;
      while (this.#now() < nextAt) {
        await this.#wait(Math.min(this.#random.between(200, 1500), Math.max(1, nextAt - this.#now())));
        if (this.#now() < nextAt) await this.#runFault("reset", this.#random.pick(this.#fleet.names));
      }
    }
  }

  #startFault(): Promise<void> | undefined {
    const free = this.#fleet.names.filter((name) => !this.#faultyMachines.has(name));
    if (free.length === 0) return undefined;
    const name = this.#random.pick(free);
    const kind = this.#mayWipe(name) && this.#random.draw() < 0.4 ? "wipe" : this.#random.pick(soakFaultKinds);
    if (kind === "wipe" && !this.#mayWipe(name)) return undefined;
    return this.#runFault(kind, name);
  }

  #hasDisk(name: string): boolean {
    return !this.#fleet.withRole("vise").includes(name);
  }

  #mayWipe(name: string): boolean {
    const isAnyFaulty = [...this.#faultyMachines].some((machine) => this.#hasDisk(machine));
    return (
      this.#hasDisk(name) && !isAnyFaulty && this.#now() - this.#disksHealthySince > SoakFaultInjector.minHealthyMs
    );
  }

  async #runFault(kind: SoakFaultKind, name: string): Promise<void> {
    const from = this.#now();
    this.#faultyMachines.add(name);
    const ms = this.#random.between(300, 4000);
    await this.#inject(kind, name, ms);
    this.#faultyMachines.delete(name);
    if (this.#hasDisk(name)) this.#disksHealthySince = this.#now();
    this.injected.push({ kind, name, from: Math.round(from), to: Math.round(this.#now()) });
  }

  async #inject(kind: SoakFaultKind, name: string, ms: number): Promise<void> {
    const fleet = this.#fleet;
    switch (kind) {
      case "kill":
      case "wipe":
        await fleet.endProcess(name, "SIGKILL");
        if (kind === "wipe") fleet.wipe(name);
        await this.#wait(ms / 2);
        return fleet.launch(name);
      case "restart":
        // While it is starting, a process dies by SIGTERM itself, so one that is not ready in time is skipped.
        if (!(await this.#isReady(name))) return;
        await fleet.terminate(name);
        return fleet.launch(name);
      case "pause":
        fleet.signal(name, "SIGSTOP");
        await this.#wait(ms);
        return fleet.signal(name, "SIGCONT");
      case "reset":
        fleet.relayOf(name).setMode("reset");
        return fleet.relayOf(name).setMode("open");
      case "slow":
        fleet.relayOf(name).setMode("open", this.#random.between(20, 300));
        await this.#wait(ms);
        return fleet.relayOf(name).setMode("open");
      case "cut":
      case "lostAnswers":
        fleet.relayOf(name).setMode(kind === "cut" ? "silent" : "unresponsive");
        await this.#wait(ms);
        // Data lost in the middle of a frame cannot be resumed, so the relay's connections are closed.
        fleet.relayOf(name).setMode("reset");
        return fleet.relayOf(name).setMode("open");
    }
  }

  #isReady(name: string): Promise<boolean> {
    return this.#fleet.waitUntilReady([name], SoakFaultInjector.readyMs).then(
      () => true,
      () => false,
    );
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}
