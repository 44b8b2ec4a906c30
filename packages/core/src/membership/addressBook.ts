import type { Clock } from "../runtime/clock.js";
import type { Disk } from "../storage/disk.js";
import type { Membership } from "./membership.js";
import { nodeRole } from "./nodeRole.js";

/**
 * Saves the addresses of the last known members on disk, so that a restarting node can find the fleet when its seeds
 * are down or have moved. Control nodes come first. At most `maxAddresses` are kept; the record is written only when
 * it changes.
 */
export class AddressBook {
  static readonly maxAddresses = 16;
  static readonly saveIntervalMs = 5000;

  readonly #disk: Disk;
  readonly #membership: Membership;
  readonly #clock: Clock;
  #savedText: string;
  #isWriting = false;

  constructor(disk: Disk, membership: Membership, clock: Clock) {
    this.#disk = disk;
    this.#membership = membership;
    this.#clock = clock;
    const savedRecord = disk.read("addresses")[0];
    this.#savedText = savedRecord === undefined ? "[]" : Buffer.from(savedRecord.value).toString();
    membership.rememberedAddresses = JSON.parse(this.#savedText) as string[];
  }

  /** Saves the addresses periodically from now on. To be called once. */
  start(): void {
    this.#clock.every(AddressBook.saveIntervalMs, () => void this.#saveChanges());
  }

  async #saveChanges(): Promise<void> {
    const { self } = this.#membership;
    const others = this.#membership.alive().filter((member) => member.name !== self.name);
    const addresses = [
      ...others.filter((member) => member.role === nodeRole.control),
      ...others.filter((member) => member.role !== nodeRole.control),
    ]
      .slice(0, AddressBook.maxAddresses)
      .map((member) => member.address);
    const text = JSON.stringify(addresses);
    if (this.#isWriting || addresses.length === 0 || text === this.#savedText) return;
    this.#isWriting = true;
    this.#savedText = text;
    await this.#disk.write([{ key: "addresses", value: Buffer.from(text) }]);
    this.#isWriting = false;
  }
}
