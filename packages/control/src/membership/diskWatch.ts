import type { Member } from "@cranetrack/core/gen/cranetrack_pb.js";

/** What it needs of the membership. */
export interface DiskRecords {
  all(): readonly Member[];
  isAlive(name: string): boolean;
  on(event: "changed", heed: () => void): unknown;
}

interface Seen {
  starts: number;
  processIncarnation: string;
  /** Two lives were said to be the same start of the disk. */
  isTwofold: boolean;
}

/**
 * Which disks may count in the store. A process counts its starts on its disk, synced before it says so, and says which
 * incarnation it began as. A copy of a disk shows itself by a start that was seen already: an older one, or one of
 * another life. Until the disk is started more often than any was seen, neither copy counts.
 * What this node was never told, or was told before its own start, it can't compare with.
 */
export class DiskWatch {
  /** Disks that are kept in mind; the ones heard of first are dropped. */
  static readonly maxDisks = 1024;

  readonly #membership: DiskRecords;
  readonly #seen = new Map<string, Seen>();

  constructor(membership: DiskRecords) {
    this.#membership = membership;
    membership.on("changed", () => this.#look());
  }

  isTrusted(id: string): boolean {
    const seen = this.#seen.get(id);
    if (seen === undefined) return true;
    const records = this.#membership.all().filter((one) => one.disk === id && one.diskStarts > 0);
    const isOlder = records.some((one) => one.diskStarts < seen.starts);
    const alive = records.filter((one) => this.#membership.isAlive(one.name));
    return !seen.isTwofold && !isOlder && alive.length <= 1;
  }

  #look(): void {
    for (const member of this.#membership.all()) if (member.disk !== "" && member.diskStarts > 0) this.#note(member);
    for (const id of this.#seen.keys()) {
      if (this.#seen.size <= DiskWatch.maxDisks) break;
      this.#seen.delete(id);
    }
  }

  #note({ disk, diskStarts, processIncarnation }: Member): void {
    const seen = this.#seen.get(disk);
    if (seen === undefined || diskStarts > seen.starts)
      this.#seen.set(disk, { starts: diskStarts, processIncarnation, isTwofold: false });
    else if (diskStarts === seen.starts && processIncarnation !== seen.processIncarnation) seen.isTwofold = true;
  }
}
