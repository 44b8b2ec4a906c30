import type { SimRandom } from "./simRandom.js";
import type { SimFleet } from "./simFleet.js";
import { SimLoad } from "./simLoad.js";
import { SimConfigurations } from "./simConfigurations.js";

type InjectFault = (name: string, ms: number) => number;

/**
 * The failures of the brief, one function each. An act is given a machine and a length, both drawn, and returns
 * after how many milliseconds the failure itself is over; what it takes to recover is not its business.
 */
export class GeneralFaultInjector {
  readonly #fleet: SimFleet;
  readonly #load: SimLoad;
  readonly #random: SimRandom;
  #forwarded = 0;

  constructor(fleet: SimFleet, load: SimLoad, random: SimRandom) {
    this.#fleet = fleet;
    this.#load = load;
    this.#random = random;
  }

  readonly kill: InjectFault = (name, ms) => {
    this.#fleet.kill(name);
    return this.#later(ms * 0.6, () => this.#fleet.revive(name));
  };

  /** A disk is lost for good, and only where no other loss is still to be mended: one loss is what is promised. */
  readonly wipe: InjectFault = () => {
    if (!this.#fleet.reserveLoss(0)) return -1;
    const name = this.#random.pick([...this.#fleet.withRole("lathe"), ...this.#fleet.withRole("anvil")]);
    if (this.#fleet.find(name) === undefined) return -1;
    this.#fleet.wipe(name);
    return this.#later(this.#random.between(500, 8000), () => this.#fleet.revive(name));
  };

  readonly pause: InjectFault = (name, ms) => {
    this.#fleet.pause(name, ms);
    return ms;
  };

  readonly isolate: InjectFault = (name, ms) => {
    this.#fleet.isolate(name, this.#fleet.names, this.#random.pick(["in", "out", "both"]));
    return this.#later(ms, () => this.#fleet.wires.heal());
  };

  readonly cut: InjectFault = (_name, ms) => {
    for (let i = 0; i < 4; i += 1) {
      const [one, other] = [this.#random.pick(this.#fleet.names), this.#random.pick(this.#fleet.names)];
      this.#fleet.isolate(one, [other], this.#random.pick(["in", "out", "both"]));
    }
    return this.#later(ms, () => this.#fleet.wires.heal());
  };

  readonly loss: InjectFault = (_name, ms) => {
    this.#fleet.wires.loss = this.#random.between(0.01, 0.15);
    return this.#later(ms, () => void (this.#fleet.wires.loss = 0));
  };

  readonly slowNode: InjectFault = (name, ms) => {
    this.#fleet.wires.slow.set(this.#fleet.addressOf(name), this.#random.between(50, 400));
    return this.#later(ms, () => void this.#fleet.wires.slow.clear());
  };

  readonly slowDisk: InjectFault = (name, ms) => {
    this.#fleet.diskOf(name).slowness = this.#random.between(10, 150);
    return this.#later(ms, () => void (this.#fleet.diskOf(name).slowness = 1));
  };

  readonly cycle: InjectFault = (name) => {
    this.#fleet.cycle(name);
    return this.#later(6500, () => this.#fleet.revive(name));
  };

  readonly rolling: InjectFault = () => {
    const names = this.#fleet.withRole(this.#random.pick(["lathe", "anvil", "vise"]));
    names.forEach((name, i) => {
      this.#later(i * 2500, () => this.#fleet.cycle(name));
      this.#later(i * 2500 + 2400, () => this.#fleet.revive(name));
    });
    return names.length * 2500;
  };

  readonly crowd: InjectFault = () => {
    this.#load.dropAll();
    return 500;
  };

  /** Everybody comes to a third of the edges. */
  readonly third: InjectFault = (_name, ms) => {
    this.#load.crowdAt(this.#fleet.withRole("vise").slice(0, Math.ceil(this.#fleet.withRole("vise").length / 3)));
    this.#load.dropAll();
    return this.#later(ms, () => this.#load.crowdAt([]));
  };

  readonly move: InjectFault = () => {
    for (let i = 0; i < 4; i += 1) this.#load.moveOne();
    return 2000;
  };

  /**
   * Operators send different configurations under one version, at different nodes, and one sends what is stale or
   * broken.
   */
  readonly race: InjectFault = () => {
    const version = this.#load.nextVersion;
    void this.#load.proposeConfiguration(SimLoad.configuration(version));
    void this.#load.proposeConfiguration(SimConfigurations.write(version, SimConfigurations.changed(this.#random)));
    void this.#load.proposeConfiguration(SimLoad.configuration(Math.max(1, version - 1)));
    void this.#load.proposeConfiguration({ version: version + 1000, spaces: "broken" });
    return 0;
  };

  /** The same while the control node that proposes is frozen. */
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

  /** A space is removed, and made again a while later with another contract, also with another order. */
  readonly remake: InjectFault = (_name, ms) => {
    void this.#load.proposeConfiguration(SimLoad.configuration(this.#load.nextVersion, ["notes", "notices"]));
    return this.#later(ms, () => {
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
    const names = this.#fleet.names.filter((one) => this.#fleet.zoneOf(one) === zone && this.#fleet.isUsed(one));
    for (const one of names) this.#fleet.kill(one);
    return this.#later(ms * 0.7, () => names.forEach((one) => this.#fleet.revive(one)));
  };

  /** Power is lost everywhere. */
  readonly all: InjectFault = () => {
    for (const one of this.#fleet.names) this.#fleet.kill(one);
    return this.#later(1000, () => this.#reviveAll());
  };

  /** A storage machine is to be emptied; it is restarted midway, and the wish is taken back. */
  readonly emptying: InjectFault = (_name, ms) => {
    const machine = this.#random.pick(this.#fleet.withRole("anvil"));
    this.#load.ask("PUT", machine);
    if (this.#random.draw() < 0.5) {
      this.#later(ms * 0.3, () => this.#fleet.kill(machine));
      this.#later(ms * 0.4, () => this.#fleet.revive(machine));
    }
    return this.#later(ms, () => this.#load.ask("DELETE", machine));
  };

  /** Power is lost everywhere while replicas are being moved. */
  readonly allMoving: InjectFault = (name, ms) => {
    this.emptying(name, ms + 1500);
    this.#later(this.#random.between(200, 1200), () => this.all(name, 0));
    return ms + 1500;
  };

  /** A node that was never there joins. */
  readonly added: InjectFault = () => {
    const unused = this.#fleet.names.filter((name) => !this.#fleet.isUsed(name) && !this.#fleet.isRetired(name));
    if (unused.length === 0) return -1;
    this.#fleet.start(this.#random.pick(unused));
    return 0;
  };

  /** A node that was added is gone for good; a storage machine only while nothing else is to be mended. */
  readonly gone: InjectFault = () => {
    const extra = this.#load.later.filter((name) => this.#fleet.find(name) !== undefined);
    if (extra.length === 0) return this.#passing();
    if (!this.#fleet.reserveLoss(0)) return -1;
    const name = this.#random.pick(extra);
    this.#fleet.retire(name);
    return 0;
  };

  /** An edge that nobody knew comes, and is gone for good a few seconds later. */
  #passing(): number {
    this.#forwarded += 1;
    const name = `vise-passing-${this.#forwarded}`;
    const zone = this.#fleet.zoneOf(this.#random.pick(this.#fleet.names));
    this.#fleet.enlist({ name, role: "vise", zone });
    this.#fleet.start(name);
    return this.#later(this.#random.between(3000, 6000), () => this.#fleet.retire(name));
  }

  /** A shard's leader and the edge of some session fail at once, each in its own way. */
  readonly pair: InjectFault = (_name, ms) => {
    const leaderName = this.#fleet.leaderName;
    const { node } = this.#random.pick(this.#load.clients);
    const ways = [this.kill, this.pause, this.isolate];
    for (const name of [leaderName, node]) if (name !== undefined && name !== "") this.#random.pick(ways)(name, ms);
    return ms;
  };

  /** Nearly all connections are reset, and again while the sessions that they left are being pulled. */
  readonly pulls: InjectFault = (_name, ms) => {
    this.#load.dropAll();
    this.#later(350, () => this.#load.dropAll());
    this.#later(450, () => this.#fleet.pause(this.#random.pick(this.#fleet.withRole("vise")), ms));
    return 450 + ms;
  };

  /** One of the next frames is dropped, doubled, delayed or altered. */
  readonly mutate: InjectFault = () => {
    let left = 10 + Math.floor(this.#random.draw() * 400);
    const way = this.#random.pick(["drop", "double", "delay", "swap", "truncate", "alter"]);
    this.#fleet.wires.mutate = (_from, _to, bytes) => {
      left -= 1;
      if (left !== 0) return undefined;
      this.#fleet.wires.mutate = undefined;
      if (way === "drop") return [];
      if (way === "double")
        return [
          { bytes, delay: 0 },
          { bytes, delay: this.#random.between(1, 3000) },
        ];
      if (way === "delay") return [{ bytes, delay: this.#random.between(100, 5000) }];
      if (way === "swap") return [{ bytes, delay: this.#random.between(2, 20) }];
      if (way === "truncate")
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

  #later(ms: number, act: () => void): number {
    this.#fleet.world.at(this.#fleet.world.now + ms, act);
    return ms;
  }
}
