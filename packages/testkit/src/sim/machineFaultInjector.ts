import type { Machine } from "../fleet/deployments.js";
import { FaultInjector, type InjectFault } from "./faultInjector.js";

/** Faults of single machines and of groups: crashes, drains, replacements, clock steps, and changes of load. */
export class MachineFaultInjector extends FaultInjector {
  /** Share of the edges that `herd` ends. */
  static readonly herdShare = 0.6;
  static readonly clockStepMs = 2000;
  /** How long a disk loss stays reserved for the replacement of a machine, in ms. */
  static readonly lossReservationMs = 8000;
  /** How long a drain may take before it is cancelled, and a disk loss stays reserved for it, in ms. */
  static readonly emptyingMs = 10_000;
  /** Time per machine when machines are stopped in turn, in ms. */
  static readonly stopIntervalMs = 2500;
  #replacementCount = 0;

  /** The process is killed and its machine keeps running. */
  readonly crash: InjectFault = (name, ms) => {
    this.fleet.crash(name);
    return this.schedule(ms * 0.3, () => this.fleet.revive(name));
  };

  /** Each control and storage machine in turn is asked to stop while it answers an operator. */
  readonly busyStops: InjectFault = () => {
    const names = this.durableMachines;
    names.forEach((machineName, i) => {
      this.schedule(i * MachineFaultInjector.stopIntervalMs, () => {
        void this.fleet.port.call(machineName, "GET", "/v1/plan", undefined);
        this.schedule(2, () => this.fleet.stopGracefully(machineName));
      });
      this.schedule((i + 1) * MachineFaultInjector.stopIntervalMs - 100, () => this.fleet.revive(machineName));
    });
    return names.length * MachineFaultInjector.stopIntervalMs;
  };

  /** A storage machine is drained as soon as it has restarted. */
  readonly drainReturned: InjectFault = (_name, ms) => {
    const machine = this.random.pick(
      this.fleet.withRole("anvil").filter((machineName) => this.fleet.isUsed(machineName)),
    );
    this.fleet.kill(machine);
    this.schedule(ms * 0.3, () => {
      this.fleet.revive(machine);
      this.load.requestEmptying("PUT", machine);
    });
    return this.schedule(ms * 0.3 + MachineFaultInjector.emptyingMs, () =>
      this.load.requestEmptying("DELETE", machine),
    );
  };

  /** Most edges lose power at the same time. */
  readonly herd: InjectFault = (_name, ms) => {
    const names = this.pickSome(this.edges, Math.ceil(this.edges.length * MachineFaultInjector.herdShare));
    for (const machineName of names) this.fleet.kill(machineName);
    return this.schedule(ms * 0.5, () => this.reviveAll(names));
  };

  /** All control and storage machines lose power under load. */
  readonly core: InjectFault = () => this.#endAllThenRevive((machineName) => this.fleet.kill(machineName));

  /** The processes of all control and storage machines are killed. */
  readonly coreCrash: InjectFault = () => this.#endAllThenRevive((machineName) => this.fleet.crash(machineName));

  /** A control or storage machine is lost for good; a second later an empty one starts at another address. */
  readonly replaced: InjectFault = () => {
    const old = this.#pickReplaceable();
    if (old === undefined) return FaultInjector.notApplicable;
    this.fleet.removeForGood(old);
    return this.schedule(1000, () => this.#startReplacement(old)) + 2000;
  };

  /** Like `replaced`, but the new machine starts first, and the old one is asked to stop a second later. */
  readonly replacedFirst: InjectFault = () => {
    const old = this.#pickReplaceable();
    if (old === undefined) return FaultInjector.notApplicable;
    this.#startReplacement(old);
    this.schedule(1000, () => this.fleet.stopForGood(old));
    return this.schedule(7500, () => this.fleet.removeForGood(old)) + 1000;
  };

  /** Edges are asked to stop, one after the other, and don't return. */
  readonly leaving: InjectFault = () => {
    const spare = this.edges.slice(2);
    const names = this.pickSome(spare, 2);
    names.forEach((machineName, i) => {
      this.schedule(i * 1500, () => this.fleet.stopForGood(machineName));
      this.schedule(i * 1500 + 6500, () => this.fleet.removeForGood(machineName));
    });
    return names.length === 0 ? FaultInjector.notApplicable : names.length * 1500 + 6500;
  };

  /** A storage machine is drained; as soon as it is reported empty, another machine's disk is lost. */
  readonly emptiedWipe: InjectFault = (_name, ms) => {
    if (!this.fleet.reserveLoss(MachineFaultInjector.emptyingMs)) return FaultInjector.notApplicable;
    const machine = this.random.pick(
      this.fleet.withRole("anvil").filter((machineName) => this.fleet.isUsed(machineName)),
    );
    this.load.requestEmptying("PUT", machine);
    const pollEmptied = (attemptsLeft: number): void => {
      if (attemptsLeft <= 0) return;
      void this.load.isEmptied(machine).then((isEmptied) => {
        const others = this.durableMachines.filter((machineName) => machineName !== machine);
        if (!isEmptied) this.schedule(250, () => pollEmptied(attemptsLeft - 1));
        else if (this.fleet.mayLoseDisk) this.#wipe(this.random.pick(others));
      });
    };
    this.schedule(500, () => pollEmptied(30));
    return this.schedule(8000 + ms, () => this.load.requestEmptying("DELETE", machine));
  };

  /** The wall clock of some machines jumps, and back later; some of their processes restart meanwhile. */
  readonly clockStep: InjectFault = (_name, ms) => {
    const names = this.pickSome(this.fleet.names, Math.ceil(this.fleet.names.length * 0.3));
    const step = this.random.pick([-1, 1]) * MachineFaultInjector.clockStepMs;
    for (const machineName of names) this.fleet.stepWallClock(machineName, step);
    const restarted = this.pickSome(names, 2).filter((machineName) => this.fleet.find(machineName) !== undefined);
    this.schedule(200, () => {
      for (const machineName of restarted) {
        this.fleet.crash(machineName);
        this.fleet.revive(machineName);
      }
    });
    return this.schedule(ms, () => names.forEach((machineName) => this.fleet.stepWallClock(machineName, -step)));
  };

  /** The settings name other seeds; some machines restart with them. */
  readonly seedsTurned: InjectFault = () => {
    const running = this.fleet.names.filter((machineName) => this.fleet.find(machineName) !== undefined);
    const seeds = this.pickSome(running, 3);
    if (seeds.length < 3) return FaultInjector.notApplicable;
    this.fleet.setSeeds(seeds);
    for (const machineName of this.pickSome(running, 2)) {
      this.fleet.crash(machineName);
      this.schedule(300, () => this.fleet.revive(machineName));
    }
    return 300;
  };

  /** Clients publish five times as many messages for a while. */
  readonly rush: InjectFault = (_name, ms) => {
    this.load.setPublishFactor(5);
    return this.schedule(ms, () => this.load.setPublishFactor(1));
  };

  /** Half of all clients move to one zone. */
  readonly shift: InjectFault = () => {
    this.load.moveToOneZone(0.5);
    return 2000;
  };

  #endAllThenRevive(endMachine: (name: string) => void): number {
    const names = this.durableMachines;
    for (const machineName of names) endMachine(machineName);
    return this.schedule(this.random.between(500, 2500), () => this.reviveAll(names));
  }

  /** Only one loss at a time is tolerated: undefined while another one still awaits repair. */
  #pickReplaceable(): string | undefined {
    const names = this.durableMachines.filter((machineName) => this.fleet.find(machineName) !== undefined);
    return names.length > 0 && this.fleet.reserveLoss(MachineFaultInjector.lossReservationMs)
      ? this.random.pick(names)
      : undefined;
  }

  #startReplacement(old: string): void {
    this.#replacementCount += 1;
    const { role, zone, settings }: Machine = this.fleet.machineOf(old);
    const name = `${role}-new-${this.#replacementCount}`;
    this.fleet.addMachine({ name, role, zone, settings: { ...settings, mayFound: false } });
    this.fleet.start(name);
  }

  #wipe(name: string): void {
    this.fleet.wipe(name);
    this.schedule(1000, () => this.fleet.revive(name));
  }
}
