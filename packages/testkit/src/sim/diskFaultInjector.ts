import { FaultInjector, type InjectFault } from "./faultInjector.js";

/** Faults of disks: full, hanging, or failing a write. */
export class DiskFaultInjector extends FaultInjector {
  readonly fullDisk: InjectFault = (_name, ms) => {
    const name = this.random.pick(this.durableMachines);
    this.fleet.diskOf(name).setFull(true);
    return this.schedule(ms, () => this.fleet.diskOf(name).setFull(false));
  };

  readonly hungDisk: InjectFault = (_name, ms) => {
    this.fleet.diskOf(this.random.pick(this.durableMachines)).hang(ms);
    return ms;
  };

  /** A write fails: the process ends, and unsynced writes may or may not be on the disk afterwards. */
  readonly refusedWrite: InjectFault = () => {
    const name = this.random.pick(this.durableMachines);
    this.fleet.diskOf(name).onRefuse = () => {
      this.fleet.kill(name);
      this.schedule(700, () => this.fleet.revive(name));
    };
    return this.schedule(3000, () => void (this.fleet.diskOf(name).onRefuse = undefined));
  };
}
