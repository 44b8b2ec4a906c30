import { FaultInjector, type InjectFault } from "./acts.js";

/** Disks that are full, hang or refuse a write. */
export class DiskFaultInjector extends FaultInjector {
  readonly fullDisk: InjectFault = (_name, ms) => {
    const name = this.random.pick(this.counted);
    this.fleet.diskOf(name).fill(true);
    return this.later(ms, () => this.fleet.diskOf(name).fill(false));
  };

  readonly hungDisk: InjectFault = (_name, ms) => {
    this.fleet.diskOf(this.random.pick(this.counted)).hang(ms);
    return ms;
  };

  /** A write fails: the process ends, and what no sync covered may be there or not. */
  readonly refusedWrite: InjectFault = () => {
    const name = this.random.pick(this.counted);
    this.fleet.diskOf(name).onRefuse = () => {
      this.fleet.kill(name);
      this.later(700, () => this.fleet.revive(name));
    };
    return this.later(3000, () => void (this.fleet.diskOf(name).onRefuse = undefined));
  };
}
