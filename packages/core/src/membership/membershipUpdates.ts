import type { Member } from "../gen/cranetrack_pb.js";

/**
 * Changed records on their way through the fleet (the dissemination of SWIM, section 4): each is sent a number of times
 * that grows with the logarithm of the fleet, the one sent least lately first.
 */
export class MembershipUpdates {
  /** Records in one frame at most. */
  static readonly maxPerFrame = 8;

  readonly #left = new Map<string, number>();

  /** Twice the logarithm of the fleet's size, and some: enough to reach everybody but for a vanishing rest. */
  static transmissions(size: number): number {
    return 4 + 2 * Math.ceil(Math.log2(size + 1));
  }

  /** Whether every change was sent as often as it is to be. */
  get isEmpty(): boolean {
    return this.#left.size === 0;
  }

  /** A record changed; `size` is how many members the fleet has. */
  add(name: string, size: number): void {
    this.#left.delete(name);
    this.#left.set(name, MembershipUpdates.transmissions(size));
  }

  /** The records for the next frame, each counted as sent once more. */
  nextBatch(find: (name: string) => Member | undefined): Member[] {
    const batch: Member[] = [];
    for (const [name, left] of [...this.#first()]) {
      this.#left.delete(name);
      const member = find(name);
      if (member === undefined) continue;
      batch.push(member);
      if (left > 1) this.#left.set(name, left - 1);
    }
    return batch;
  }

  *#first(): Iterable<[string, number]> {
    let count = 0;
    for (const entry of this.#left) {
      yield entry;
      if ((count += 1) === MembershipUpdates.maxPerFrame) return;
    }
  }
}
