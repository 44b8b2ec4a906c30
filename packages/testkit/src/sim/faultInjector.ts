import type { SimFleet } from "./simFleet.js";
import type { SimLoad } from "./simLoad.js";
import type { SimRandom } from "./simRandom.js";

/**
 * Injects a fault, given a randomly drawn machine and duration in ms. Returns after how many ms the fault is over, or
 * `FaultInjector.notApplicable` if it can't be injected now.
 */
export type InjectFault = (name: string, ms: number) => number;

/** Base class of the groups of fault injectors. */
export abstract class FaultInjector {
  /** Returned by a fault that needs a state of the fleet which does not hold now. */
  static readonly notApplicable = -1;

  protected readonly fleet: SimFleet;
  protected readonly load: SimLoad;
  protected readonly random: SimRandom;

  constructor(fleet: SimFleet, load: SimLoad, random: SimRandom) {
    this.fleet = fleet;
    this.load = load;
    this.random = random;
  }

  /** Runs a task after a delay in ms, and returns the delay. */
  protected schedule(ms: number, task: () => void): number {
    this.fleet.world.at(this.fleet.world.now + ms, task);
    return ms;
  }

  /** Control and storage machines in use: those whose disks hold acknowledged data, so that their loss counts. */
  protected get durableMachines(): string[] {
    return [...this.fleet.withRole("lathe"), ...this.fleet.withRole("anvil")].filter((machineName) =>
      this.fleet.isUsed(machineName),
    );
  }

  protected get edges(): string[] {
    return this.fleet.withRole("vise").filter((machineName) => this.fleet.isUsed(machineName));
  }

  /** Draws up to `count` different names. */
  protected pickSome(names: readonly string[], count: number): string[] {
    const remaining = [...names];
    const drawn: string[] = [];
    while (remaining.length > 0 && drawn.length < count) {
      const machineName = this.random.pick(remaining);
      remaining.splice(remaining.indexOf(machineName), 1);
      drawn.push(machineName);
    }
    return drawn;
  }

  protected reviveAll(names: readonly string[]): void {
    for (const machineName of names) this.fleet.revive(machineName);
  }
}
