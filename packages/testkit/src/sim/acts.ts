import type { SimFleet } from "./simFleet.js";
import type { SimLoad } from "./simLoad.js";
import type { SimRandom } from "./simRandom.js";

/** Given a machine and a length, both drawn; returns after how many milliseconds the failure is over, -1 for never. */
export type InjectFault = (name: string, ms: number) => number;

/** What all kinds of failures work with. */
export abstract class FaultInjector {
  /** A failure that needs a moment or a state does not come about where neither comes. */
  static readonly notNow = -1;

  protected readonly fleet: SimFleet;
  protected readonly load: SimLoad;
  protected readonly random: SimRandom;

  constructor(fleet: SimFleet, load: SimLoad, random: SimRandom) {
    this.fleet = fleet;
    this.load = load;
    this.random = random;
  }

  protected later(ms: number, act: () => void): number {
    this.fleet.world.at(this.fleet.world.now + ms, act);
    return ms;
  }

  /** The machines whose loss counts: those with a disk that something was promised on. */
  protected get counted(): string[] {
    return [...this.fleet.withRole("lathe"), ...this.fleet.withRole("anvil")].filter((one) => this.fleet.isUsed(one));
  }

  protected get edges(): string[] {
    return this.fleet.withRole("vise").filter((one) => this.fleet.isUsed(one));
  }

  protected some(names: readonly string[], count: number): string[] {
    const left = [...names];
    const drawn: string[] = [];
    while (left.length > 0 && drawn.length < count) {
      const one = this.random.pick(left);
      left.splice(left.indexOf(one), 1);
      drawn.push(one);
    }
    return drawn;
  }

  protected reviveAll(names: readonly string[]): void {
    for (const one of names) this.fleet.revive(one);
  }
}
