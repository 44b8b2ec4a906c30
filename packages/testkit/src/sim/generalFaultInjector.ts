import type { SimRandom } from "./simRandom.js";
import type { SimFleet } from "./simFleet.js";
import { SimLoad } from "./simLoad.js";
import { SimConfigurations } from "./simConfigurations.js";

type InjectFault = (name: string, ms: number) => number;

/**
 * Faults of machines, links, clients and operators, one function each. A function is given a randomly drawn machine
 * and a duration in ms, and returns after how many ms the fault itself is over (-1: not applicable now); the time to
 * recover is not part of it.
 */
export class GeneralFaultInjector {
  readonly #fleet: SimFleet;
  readonly #load: SimLoad;
  readonly #random: SimRandom;
  #temporaryEdgeCount = 0;

  constructor(fleet: SimFleet, load: SimLoad, random: SimRandom) {
    this.#fleet = fleet;
    this.#load = load;
    this.#random = random;
  }

  readonly kill: InjectFault = (name, ms) => {
    this.#fleet.kill(name);
    return this.#schedule(ms * 0.6, () => this.#fleet.revive(name));
  };

  /** A disk is lost for good, only if no other loss awaits repair: the fleet tolerates one loss at a time. */
  readonly wipe: InjectFault = () => {
    if (!this.#fleet.reserveLoss(0)) return -1;
    const name = this.#random.pick([...this.#fleet.withRole("lathe"), ...this.#fleet.withRole("anvil")]);
    if (this.#fleet.find(name) === undefined) return -1;
    this.#fleet.wipe(name);
    return this.#schedule(this.#random.between(500, 8000), () => this.#fleet.revive(name));
  };

  readonly pause: InjectFault = (name, ms) => {
    this.#fleet.pause(name, ms);
    return ms;
  };

  readonly isolate: InjectFault = (name, ms) => {
    this.#fleet.isolate(name, this.#fleet.names, this.#random.pick(["in", "out", "both"]));
    return this.#schedule(ms, () => this.#fleet.wires.heal());
  };

  readonly cut: InjectFault = (_name, ms) => {
    for (let i = 0; i < 4; i += 1) {
      const [machineName, other] = [this.#random.pick(this.#fleet.names), this.#random.pick(this.#fleet.names)];
      this.#fleet.isolate(machineName, [other], this.#random.pick(["in", "out", "both"]));
    }
    return this.#schedule(ms, () => this.#fleet.wires.heal());
  };

  readonly loss: InjectFault = (_name, ms) => {
    this.#fleet.wires.loss = this.#random.between(0.01, 0.15);
    return this.#schedule(ms, () => void (this.#fleet.wires.loss = 0));
  };

  readonly slowNode: InjectFault = (name, ms) => {
    this.#fleet.wires.extraLatencyMs.set(this.#fleet.addressOf(name), this.#random.between(50, 400));
    return this.#schedule(ms, () => void this.#fleet.wires.extraLatencyMs.clear());
  };

  readonly slowDisk: InjectFault = (name, ms) => {
    this.#fleet.diskOf(name).syncTimeFactor = this.#random.between(10, 150);
    return this.#schedule(ms, () => void (this.#fleet.diskOf(name).syncTimeFactor = 1));
  };

  readonly cycle: InjectFault = (name) => {
    this.#fleet.stopGracefully(name);
    return this.#schedule(6500, () => this.#fleet.revive(name));
  };

  readonly rolling: InjectFault = () => {
    const names = this.#fleet.withRole(this.#random.pick(["lathe", "anvil", "vise"]));
    names.forEach((name, i) => {
      this.#schedule(i * 2500, () => this.#fleet.stopGracefully(name));
      this.#schedule(i * 2500 + 2400, () => this.#fleet.revive(name));
    });
    return names.length * 2500;
  };

  readonly crowd: InjectFault = () => {
    this.#load.disconnectAll();
    return 500;
  };

  /** All clients reconnect to one third of the edges. */
  readonly third: InjectFault = (_name, ms) => {
    this.#load.connectAllTo(this.#fleet.withRole("vise").slice(0, Math.ceil(this.#fleet.withRole("vise").length / 3)));
    this.#load.disconnectAll();
    return this.#schedule(ms, () => this.#load.connectAllTo([]));
  };

  readonly move: InjectFault = () => {
    for (let i = 0; i < 4; i += 1) this.#load.moveOneClient();
    return 2000;
  };

  /**
   * Operators send different configurations under one version to different nodes, and also a stale and an invalid
   * one.
   */
  readonly race: InjectFault = () => {
    const version = this.#load.nextVersion;
    void this.#load.proposeConfiguration(SimLoad.configuration(version));
    void this.#load.proposeConfiguration(SimConfigurations.write(version, SimConfigurations.changed(this.#random)));
    void this.#load.proposeConfiguration(SimLoad.configuration(Math.max(1, version - 1)));
    void this.#load.proposeConfiguration({ version: version + 1000, spaces: "broken" });
    return 0;
  };

  /** Like `race`, while the leader of the metadata store is paused. */
  readonly raceFrozen: InjectFault = (name, ms) => {
    const leader = this.#fleet.leader;
    if (leader !== undefined) this.#fleet.pause(leader, ms);
    this.race(name, ms);
    this.changeConfiguration(name, ms);
    return ms;
  };

  readonly changeConfiguration: InjectFault = () => {
    void this.#load.proposeConfiguration(
      SimConfigurations.write(this.#load.nextVersion, SimConfigurations.changed(this.#random)),
    );
    return 0;
  };

  /** A space is removed, and created again later with another contract, possibly with another message order. */
  readonly remake: InjectFault = (_name, ms) => {
    void this.#load.proposeConfiguration(SimLoad.configuration(this.#load.nextVersion, ["notes", "notices"]));
    return this.#schedule(ms, () => {
      const spaces = SimConfigurations.usual();
      Object.assign(spaces["extra"]![0]!.contract, {
        order: this.#random.pick(["space", "sender", "topic"]),
        keep: 90,
      });
      void this.#load.proposeConfiguration(SimConfigurations.write(this.#load.nextVersion, spaces));
    });
  };

  readonly zone: InjectFault = (name, ms) => {
    const zone = this.#fleet.zoneOf(name);
    const names = this.#fleet.names.filter(
      (machineName) => this.#fleet.zoneOf(machineName) === zone && this.#fleet.isUsed(machineName),
    );
    for (const machineName of names) this.#fleet.kill(machineName);
    return this.#schedule(ms * 0.7, () => names.forEach((machineName) => this.#fleet.revive(machineName)));
  };

  /** All machines lose power. */
  readonly all: InjectFault = () => {
    for (const machineName of this.#fleet.names) this.#fleet.kill(machineName);
    return this.#schedule(1000, () => this.#reviveAll());
  };

  /** A storage machine is drained, sometimes restarted meanwhile, and the drain is cancelled. */
  readonly emptying: InjectFault = (_name, ms) => {
    const machine = this.#random.pick(this.#fleet.withRole("anvil"));
    this.#load.requestEmptying("PUT", machine);
    if (this.#random.draw() < 0.5) {
      this.#schedule(ms * 0.3, () => this.#fleet.kill(machine));
      this.#schedule(ms * 0.4, () => this.#fleet.revive(machine));
    }
    return this.#schedule(ms, () => this.#load.requestEmptying("DELETE", machine));
  };

  /** All machines lose power while replicas are being moved. */
  readonly allMoving: InjectFault = (name, ms) => {
    this.emptying(name, ms + 1500);
    this.#schedule(this.#random.between(200, 1200), () => this.all(name, 0));
    return ms + 1500;
  };

  /** A machine that was never started joins. */
  readonly added: InjectFault = () => {
    const unused = this.#fleet.names.filter((name) => !this.#fleet.isUsed(name) && !this.#fleet.isRetired(name));
    if (unused.length === 0) return -1;
    this.#fleet.start(this.#random.pick(unused));
    return 0;
  };

  /** A machine that was added is removed for good, only if no other loss awaits repair; else a temporary edge comes. */
  readonly gone: InjectFault = () => {
    const lateMachines = this.#load.lateMachines.filter((name) => this.#fleet.find(name) !== undefined);
    if (lateMachines.length === 0) return this.#addTemporaryEdge();
    if (!this.#fleet.reserveLoss(0)) return -1;
    const name = this.#random.pick(lateMachines);
    this.#fleet.removeForGood(name);
    return 0;
  };

  /** A new edge joins, and is removed for good a few seconds later. */
  #addTemporaryEdge(): number {
    this.#temporaryEdgeCount += 1;
    const name = `vise-passing-${this.#temporaryEdgeCount}`;
    const zone = this.#fleet.zoneOf(this.#random.pick(this.#fleet.names));
    this.#fleet.addMachine({ name, role: "vise", zone });
    this.#fleet.start(name);
    return this.#schedule(this.#random.between(3000, 6000), () => this.#fleet.removeForGood(name));
  }

  /** A shard's leader and some session's edge fail at the same time, each with a fault of its own. */
  readonly pair: InjectFault = (_name, ms) => {
    const leaderName = this.#fleet.shardLeader;
    const { node } = this.#random.pick(this.#load.clients);
    const injectors = [this.kill, this.pause, this.isolate];
    for (const name of [leaderName, node])
      if (name !== undefined && name !== "") this.#random.pick(injectors)(name, ms);
    return ms;
  };

  /** All client connections are reset, and again while other edges take over their sessions; then an edge is paused. */
  readonly pulls: InjectFault = (_name, ms) => {
    this.#load.disconnectAll();
    this.#schedule(350, () => this.#load.disconnectAll());
    this.#schedule(450, () => this.#fleet.pause(this.#random.pick(this.#fleet.withRole("vise")), ms));
    return 450 + ms;
  };

  /** One of the next 410 frames is dropped, duplicated, delayed, reordered, truncated or altered. */
  readonly mutate: InjectFault = () => {
    let framesLeft = 10 + Math.floor(this.#random.draw() * 400);
    const mutation = this.#random.pick(["drop", "double", "delay", "swap", "truncate", "alter"]);
    this.#fleet.wires.mutate = (_from, _to, bytes) => {
      framesLeft -= 1;
      if (framesLeft !== 0) return undefined;
      this.#fleet.wires.mutate = undefined;
      if (mutation === "drop") return [];
      if (mutation === "double")
        return [
          { bytes, delay: 0 },
          { bytes, delay: this.#random.between(1, 3000) },
        ];
      if (mutation === "delay") return [{ bytes, delay: this.#random.between(100, 5000) }];
      if (mutation === "swap") return [{ bytes, delay: this.#random.between(2, 20) }];
      if (mutation === "truncate")
        return [{ bytes: bytes.subarray(0, Math.floor(this.#random.draw() * bytes.length)), delay: 0 }];
      const altered = Uint8Array.from(bytes);
      altered[Math.floor(this.#random.draw() * altered.length)]! ^= 1 << Math.floor(this.#random.draw() * 8);
      return [{ bytes: altered, delay: 0 }];
    };
    return 5000;
  };

  #reviveAll(): void {
    for (const name of this.#fleet.names) this.#fleet.revive(name);
  }

  #schedule(ms: number, task: () => void): number {
    this.#fleet.world.at(this.#fleet.world.now + ms, task);
    return ms;
  }
}
