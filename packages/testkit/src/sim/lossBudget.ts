import type { SimFleet } from "./simFleet.js";

/**
 * When one more disk may be lost, as users count it: a machine is lost while it is down, frozen, cut off or without
 * its disk, and for a fixed time after it is back, or its successor's start. Whether anything is mended by then is
 * the fleet's business.
 */
export class LossBudget {
  static readonly lookMs = 50;

  readonly #fleet: SimFleet;
  readonly #syncMs: number;
  #lastFaultAt: number;

  constructor(fleet: SimFleet, syncMs: number) {
    this.#fleet = fleet;
    this.#syncMs = syncMs;
    this.#lastFaultAt = fleet.world.now;
    this.#look();
  }

  get isFree(): boolean {
    return this.#fleet.world.now - this.#lastFaultAt >= this.#syncMs;
  }

  #look(): void {
    const { world } = this.#fleet;
    if (this.#isTroubled) this.#lastFaultAt = world.now;
    world.at(world.now + LossBudget.lookMs, () => this.#look());
  }

  get #isTroubled(): boolean {
    const { world, wires } = this.#fleet;
    const counted = [...this.#fleet.withRole("lathe"), ...this.#fleet.withRole("anvil")];
    const used = counted.filter((name) => this.#fleet.isUsed(name));
    const isBad = (name: string): boolean => {
      const running = this.#fleet.find(name);
      return running === undefined || running.body.pausedUntil > world.now || this.#fleet.diskOf(name).isTroubled;
    };
    return wires.isTroubled || used.some(isBad);
  }
}
