import type { Member } from "@cranetrack/core/gen/cranetrack_pb.js";

/** What it needs of the membership. */
export interface DiskRecords {
  all(): readonly Member[];
  isAlive(name: string): boolean;
  on(event: "changed", listener: () => void): unknown;
}

interface SeenDisk {
  starts: number;
  processIncarnation: string;
  /** Two lives were said to be the same start of the disk. */
  isDuplicate: boolean;
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
  readonly #seen = new Map<string, SeenDisk>();

  constructor(membership: DiskRecords) {
    this.#membership = membership;
    membership.on("changed", () => this.#onMembershipChanged());
  }

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
      if (member.disk !== "" && member.diskStarts > 0) this.#noteStart(member);
    for (const id of this.#seen.keys()) {
      if (this.#seen.size <= DiskWatch.maxDisks) break;
      this.#seen.delete(id);
    }
  }

  #noteStart({ disk, diskStarts, processIncarnation }: Member): void {
    const seen = this.#seen.get(disk);
    if (seen === undefined || diskStarts > seen.starts)
      this.#seen.set(disk, { starts: diskStarts, processIncarnation, isDuplicate: false });
    else if (diskStarts === seen.starts && processIncarnation !== seen.processIncarnation) seen.isDuplicate = true;
  }
}
