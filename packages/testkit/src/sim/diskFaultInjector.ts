import { Acts, type Act } from "./faultInjector.js";

/** Disks that are full, hang or refuse a write. */
export class DiskActs extends Acts {
  readonly fullDisk: Act = (_name, ms) => {
    const name = this.random.pick(this.counted);
    this.fleet.diskOf(name).fill(true);
    return this.later(ms, () => this.fleet.diskOf(name).fill(false));
  };

  readonly hungDisk: Act = (_name, ms) => {
    this.fleet.diskOf(this.random.pick(this.counted)).hang(ms);
    return ms;
  };

  /** A write fails: the process ends, and what no sync covered may be there or not. */
  readonly refusedWrite: Act = () => {
    const name = this.random.pick(this.counted);
    this.fleet.diskOf(name).onRefuse = () => {
      this.fleet.kill(name);
      this.later(700, () => this.fleet.revive(name));
    };
    return this.later(3000, () => void (this.fleet.diskOf(name).onRefuse = undefined));
  };
}
