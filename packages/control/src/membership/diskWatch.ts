import type { Member } from "@cranetrack/core/gen/cranetrack_pb.js";

/** The part of the cluster membership that the disk watch uses. */
export interface DiskRecords {
  all(): readonly Member[];
  isAlive(name: string): boolean;
  on(event: "changed", listener: () => void): unknown;
}

/** The latest start of a disk that was seen. */
interface SeenDisk {
  /** How often a process was started on the disk, this start included. */
  starts: number;
  processIncarnation: string;
  /** Whether two process incarnations claim the same start, which means that the disk was copied. */
  isDuplicate: boolean;
}

/**
 * Detects copied disks, whose votes and acknowledgements must not count in the store. A process counts its starts on
 * its disk, syncs the count before it announces it, and announces its process incarnation. A copy is detected by a
 * start count that is lower than one seen before or that another process incarnation has announced already, or by two
 * live machines that announce the same disk. No copy counts until the disk announces a start count higher than any
 * seen. Starts that this node did not see, for instance before its own start, can't be compared.
 */
export class DiskWatch {
  /** How many disks are remembered; beyond that, those first seen longest ago are dropped. */
  static readonly maxDisks = 1024;

  readonly #membership: DiskRecords;
  readonly #seen = new Map<string, SeenDisk>();

  constructor(membership: DiskRecords) {
    this.#membership = membership;
    membership.on("changed", () => this.#onMembershipChanged());
  }

  /** Whether votes and acknowledgements of the disk with this id count; true for a disk that was never seen. */
  isTrusted(id: string): boolean {
    const seen = this.#seen.get(id);
    if (seen === undefined) return true;
    const records = this.#membership.all().filter((member) => member.disk === id && member.diskStarts > 0);
    const isOlder = records.some((member) => member.diskStarts < seen.starts);
    const alive = records.filter((member) => this.#membership.isAlive(member.name));
    return !seen.isDuplicate && !isOlder && alive.length <= 1;
  }

  #onMembershipChanged(): void {
    for (const member of this.#membership.all())
      if (member.disk !== "" && member.diskStarts > 0) this.#recordStart(member);
    for (const id of this.#seen.keys()) {
      if (this.#seen.size <= DiskWatch.maxDisks) break;
      this.#seen.delete(id);
    }
  }

  #recordStart({ disk, diskStarts, processIncarnation }: Member): void {
    const seen = this.#seen.get(disk);
    if (seen === undefined || diskStarts > seen.starts)
      this.#seen.set(disk, { starts: diskStarts, processIncarnation, isDuplicate: false });
    else if (diskStarts === seen.starts && processIncarnation !== seen.processIncarnation) seen.isDuplicate = true;
  }
}
