import type { Member } from "../gen/cranetrack_pb.js";

/**
 * The changed records that this node still has to pass on (the dissemination of SWIM, section 4). Each is sent a number
 * of times that grows with the logarithm of the fleet's size; the least recently sent one goes first.
 */
export class MembershipUpdates {
  /** The most records in one frame. */
  static readonly maxPerFrame = 8;

  readonly #remainingSends = new Map<string, number>();

  /** Twice the logarithm of the fleet's size, plus 4: a change reaches nearly every member. */
  static transmissions(memberCount: number): number {
    return 4 + 2 * Math.ceil(Math.log2(memberCount + 1));
  }

  /** Whether every change was sent as often as `transmissions` asks. */
  get isEmpty(): boolean {
    return this.#remainingSends.size === 0;
  }

  /** Queues a changed record; `memberCount` is the size of the fleet. */
  add(name: string, memberCount: number): void {
    this.#remainingSends.delete(name);
    this.#remainingSends.set(name, MembershipUpdates.transmissions(memberCount));
  }

  /** The records for the next frame, each counted as sent once more. */
  nextBatch(find: (name: string) => Member | undefined): Member[] {
    const batch: Member[] = [];
    for (const [name, remaining] of [...this.#nextEntries()]) {
      this.#remainingSends.delete(name);
      const member = find(name);
      if (member === undefined) continue;
      batch.push(member);
      if (remaining > 1) this.#remainingSends.set(name, remaining - 1);
    }
    return batch;
  }

  *#nextEntries(): Iterable<[string, number]> {
    let count = 0;
    for (const entry of this.#remainingSends) {
      yield entry;
      if ((count += 1) === MembershipUpdates.maxPerFrame) return;
    }
  }
}
