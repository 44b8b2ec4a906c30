import type { Clock } from "../runtime/clock.js";
import type { Disk } from "../storage/disk.js";
import type { Membership } from "./membership.js";
import { nodeRole } from "./nodeRole.js";

/**
 * The addresses of the members last known, on disk, so that a start finds somebody where its seeds are down or
 * have moved. Control nodes first, then the others; few, and written only when they changed.
 */
export class AddressBook {
  static readonly most = 16;
  static readonly tickIntervalMs = 5000;

  readonly #disk: Disk;
  readonly #membership: Membership;
  readonly #clock: Clock;
  #kept: string;
  #isWriting = false;

  constructor(disk: Disk, membership: Membership, clock: Clock) {
    this.#disk = disk;
    this.#membership = membership;
    this.#clock = clock;
    const kept = disk.read("addresses")[0];
    this.#kept = kept === undefined ? "[]" : Buffer.from(kept.value).toString();
    membership.remembered = JSON.parse(this.#kept) as string[];
  }

  start(): void {
    this.#clock.every(AddressBook.tickIntervalMs, () => void this.#keep());
  }

  async #keep(): Promise<void> {
    const { self } = this.#membership;
    const others = this.#membership.alive().filter((member) => member.name !== self.name);
    const addresses = [
      ...others.filter((member) => member.role === nodeRole.control),
      ...others.filter((member) => member.role !== nodeRole.control),
    ]
      .slice(0, AddressBook.most)
      .map((member) => member.address);
    const text = JSON.stringify(addresses);
    if (this.#isWriting || addresses.length === 0 || text === this.#kept) return;
    this.#isWriting = true;
    this.#kept = text;
    await this.#disk.write([{ key: "addresses", value: Buffer.from(text) }]);
    this.#isWriting = false;
  }
}
