import type { Machine } from "../fleet/deployments.js";
import { FaultInjector, type InjectFault } from "./acts.js";

/** Machines that come, go and are replaced, and whole groups that fall. */
export class MachineFaultInjector extends FaultInjector {
  static readonly share = 0.6;
  static readonly stepMs = 2000;
  /** Within which a machine that is replaced is gone, or another's disk is lost after a drain. */
  static readonly lossMs = 8000;
  static readonly emptyMs = 10_000;
  /** For each machine that is stopped in turn; longer than a process may take to stop. */
  static readonly electionTurnMs = 2500;
  #replaced = 0;

  /** The process ends at once and its machine goes on. */
  readonly crash: InjectFault = (name, ms) => {
    this.fleet.crash(name);
    return this.later(ms * 0.3, () => this.fleet.revive(name));
  };

  /** Each machine that counts is asked to stop while it answers an operator, one after the other. */
  readonly busyStops: InjectFault = () => {
    const names = this.counted;
    names.forEach((one, i) => {
      this.later(i * MachineFaultInjector.electionTurnMs, () => {
        void this.fleet.port.call(one, "GET", "/v1/plan", undefined);
        this.later(2, () => this.fleet.cycle(one));
      });
      this.later((i + 1) * MachineFaultInjector.electionTurnMs - 100, () => this.fleet.revive(one));
    });
    return names.length * MachineFaultInjector.electionTurnMs;
  };

  /** A machine is to be emptied as soon as it is back. */
  readonly drainReturned: InjectFault = (_name, ms) => {
    const machine = this.random.pick(this.fleet.withRole("anvil").filter((one) => this.fleet.isUsed(one)));
    this.fleet.kill(machine);
    this.later(ms * 0.3, () => {
      this.fleet.revive(machine);
      this.load.ask("PUT", machine);
    });
    return this.later(ms * 0.3 + MachineFaultInjector.emptyMs, () => this.load.ask("DELETE", machine));
  };

  /** Most edges at once; they lose power, or only their processes. */
  readonly herd: InjectFault = (_name, ms) => {
    const names = this.some(this.edges, Math.ceil(this.edges.length * MachineFaultInjector.share));
    for (const one of names) this.fleet.kill(one);
    return this.later(ms * 0.5, () => this.reviveAll(names));
  };

  /** All that count lose power in the middle of it. */
  readonly core: InjectFault = () => this.#fallAll((one) => this.fleet.kill(one));

  /** The processes of all that count are killed. */
  readonly coreCrash: InjectFault = () => this.#fallAll((one) => this.fleet.crash(one));

  /** One that counts is gone for good, and an empty one comes a second later at another address. */
  readonly replaced: InjectFault = () => {
    const old = this.#replaceable();
    if (old === undefined) return FaultInjector.notNow;
    this.fleet.retire(old);
    return this.later(1000, () => this.#start(old)) + 2000;
  };

  /** The empty one comes first, and the old one is asked to go a second later. */
  readonly replacedFirst: InjectFault = () => {
    const old = this.#replaceable();
    if (old === undefined) return FaultInjector.notNow;
    this.#start(old);
    this.later(1000, () => this.fleet.dismiss(old));
    return this.later(7500, () => this.fleet.retire(old)) + 1000;
  };

  /** Edges are asked to go, one after the other, and stay away. */
  readonly leaving: InjectFault = () => {
    const spare = this.edges.slice(2);
    const names = this.some(spare, 2);
    names.forEach((one, i) => {
      this.later(i * 1500, () => this.fleet.dismiss(one));
      this.later(i * 1500 + 6500, () => this.fleet.retire(one));
    });
    return names.length === 0 ? FaultInjector.notNow : names.length * 1500 + 6500;
  };

  /** One that stores is emptied, and as soon as that is said to be done, another one's disk is lost. */
  readonly emptiedWipe: InjectFault = (_name, ms) => {
    if (!this.fleet.reserveLoss(MachineFaultInjector.emptyMs)) return FaultInjector.notNow;
    const machine = this.random.pick(this.fleet.withRole("anvil").filter((one) => this.fleet.isUsed(one)));
    this.load.ask("PUT", machine);
    const look = (left: number): void => {
      if (left <= 0) return;
      void this.load.isEmptied(machine).then((isEmptied) => {
        const others = this.counted.filter((one) => one !== machine);
        if (!isEmptied) this.later(250, () => look(left - 1));
        else if (this.fleet.mayLose) this.#wipe(this.random.pick(others));
      });
    };
    this.later(500, () => look(30));
    return this.later(8000 + ms, () => this.load.ask("DELETE", machine));
  };

  /** The time of day jumps on some machines, and back; some are started anew meanwhile. */
  readonly clockStep: InjectFault = (_name, ms) => {
    const names = this.some(this.fleet.names, Math.ceil(this.fleet.names.length * 0.3));
    const step = this.random.pick([-1, 1]) * MachineFaultInjector.stepMs;
    for (const one of names) this.fleet.stepWall(one, step);
    const restarted = this.some(names, 2).filter((one) => this.fleet.find(one) !== undefined);
    this.later(200, () => {
      for (const one of restarted) {
        this.fleet.crash(one);
        this.fleet.revive(one);
      }
    });
    return this.later(ms, () => names.forEach((one) => this.fleet.stepWall(one, -step)));
  };

  /** Settings name other seeds; some machines are started anew with them. */
  readonly seedsTurned: InjectFault = () => {
    const running = this.fleet.names.filter((one) => this.fleet.find(one) !== undefined);
    const seeds = this.some(running, 3);
    if (seeds.length < 3) return FaultInjector.notNow;
    this.fleet.seed(seeds);
    for (const one of this.some(running, 2)) {
      this.fleet.crash(one);
      this.later(300, () => this.fleet.revive(one));
    }
    return 300;
  };

  /** Many more messages for a while. */
  readonly rush: InjectFault = (_name, ms) => {
    this.load.hurry(5);
    return this.later(ms, () => this.load.hurry(1));
  };

  /** Half of all callers move to one zone. */
  readonly shift: InjectFault = () => {
    this.load.shift(0.5);
    return 2000;
  };

  #fallAll(end: (name: string) => void): number {
    const names = this.counted;
    for (const one of names) end(one);
    return this.later(this.random.between(500, 2500), () => this.reviveAll(names));
  }

  /** One loss is what is promised: while another is still to be mended, nothing is taken for good. */
  #replaceable(): string | undefined {
    const names = this.counted.filter((one) => this.fleet.find(one) !== undefined);
    return names.length > 0 && this.fleet.reserveLoss(MachineFaultInjector.lossMs)
      ? this.random.pick(names)
      : undefined;
  }

  #start(old: string): void {
    this.#replaced += 1;
    const { role, zone, settings }: Machine = this.fleet.machineOf(old);
    const name = `${role}-new-${this.#replaced}`;
    this.fleet.enlist({ name, role, zone, settings: { ...settings, mayFound: false } });
    this.fleet.start(name);
  }

  #wipe(name: string): void {
    this.fleet.wipe(name);
    this.later(1000, () => this.fleet.revive(name));
  }
}
