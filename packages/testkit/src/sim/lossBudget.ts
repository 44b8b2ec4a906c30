import type { SimFleet } from "./simFleet.js";

/**
 * Decides when one more disk may be lost, by the rule that users are given: a machine counts as lost while it is down,
 * paused, partitioned or without a working disk, and for a fixed time after its return or its successor's start. The
 * fleet must have repaired the loss by then.
 */
export class LossBudget {
  static readonly checkIntervalMs = 50;

  readonly #fleet: SimFleet;
  readonly #minIntervalMs: number;
  #lastFaultAt: number;

  constructor(fleet: SimFleet, syncMs: number) {
    this.#fleet = fleet;
    this.#minIntervalMs = syncMs;
    this.#lastFaultAt = fleet.world.now;
    this.#recordFaults();
  }

  /** Whether the required time has passed since the last fault. */
  get allowsLoss(): boolean {
    return this.#fleet.world.now - this.#lastFaultAt >= this.#minIntervalMs;
  }

  #recordFaults(): void {
    const { world } = this.#fleet;
    if (this.#isFaulty) this.#lastFaultAt = world.now;
    world.at(world.now + LossBudget.checkIntervalMs, () => this.#recordFaults());
  }

  get #isFaulty(): boolean {
    const { world, wires } = this.#fleet;
    const durableMachines = [...this.#fleet.withRole("lathe"), ...this.#fleet.withRole("anvil")];
    const used = durableMachines.filter((name) => this.#fleet.isUsed(name));
    const isMachineFaulty = (name: string): boolean => {
      const running = this.#fleet.find(name);
      return running === undefined || running.processState.pausedUntil > world.now || this.#fleet.diskOf(name).isFaulty;
    };
    return wires.isFaulty || used.some(isMachineFaulty);
  }
}
