import type { Frame } from "@cranetrack/core/gen/cranetrack_pb.js";
import { MemberSets } from "./memberSets.js";
import { modelBounds, type ModelMember } from "./modelMember.js";
import { Violation } from "./violation.js";

/**
 * Which contacts one process really had, by its own clock, beside what it says of itself.
 * Invariant to be kept: it calls itself in touch only within `inTouchMs` of a word from a leader after which it had
 * applied all that the leader had committed then, or, leading itself, of answers of a majority of every set of voters.
 */
export class ContactWatch {
  static readonly inTouchMs = modelBounds.electionMs * 1.3;

  readonly #member: ModelMember;
  #currentAt = -Infinity;
  /** What arrived in this step. */
  #lastContact: { at: number; commit: number } | undefined;
  /** When each other member last answered, or began to count. */
  readonly #answeredAt = new Map<string, number>();
  #ledTerm = 0;

  constructor(member: ModelMember) {
    this.#member = member;
  }

  /** A frame arrives. */
  take({ body }: Frame): void {
    const { raft, clock } = this.#member;
    if (body.case === "append" && body.value.term >= raft.term)
      this.#lastContact = { at: clock.now(), commit: body.value.commit };
    if (body.case === "appendReply" && body.value.term === raft.term)
      this.#answeredAt.set(body.value.sender, clock.now());
  }

  check(): void {
    const { raft, clock, name } = this.#member;
    if (this.#member.isActingLeader) this.#lead();
    if (this.#lastContact !== undefined && raft.commit >= this.#lastContact.commit)
      this.#currentAt = this.#lastContact.at;
    this.#lastContact = undefined;
    if (!raft.isInTouch) return;
    const ago = this.#member.isActingLeader ? this.#majorityAgo() : clock.now() - this.#currentAt;
    if (ago >= ContactWatch.inTouchMs)
      throw new Violation(
        "in touch only with a majority",
        `${name} calls itself in touch, ${ago} ms after the last word`,
      );
  }

  /** Who begins to count is taken for heard from just now. */
  #lead(): void {
    const { raft, clock } = this.#member;
    if (raft.term !== this.#ledTerm) this.#answeredAt.clear();
    this.#ledTerm = raft.term;
    const ids = [...MemberSets.of(raft.members).flat(), ...raft.members.learners].map((one) => one.id);
    for (const id of this.#answeredAt.keys()) if (!ids.includes(id)) this.#answeredAt.delete(id);
    for (const id of ids) if (!this.#answeredAt.has(id)) this.#answeredAt.set(id, clock.now());
  }

  #majorityAgo(): number {
    const now = this.#member.clock.now();
    const agoOf = (id: string): number => (id === this.#member.id ? 0 : now - (this.#answeredAt.get(id) ?? -Infinity));
    const sets = MemberSets.of(this.#member.raft.members);
    return Math.max(
      ...sets.map((set) => {
        const ages = set.map((one) => agoOf(one.id)).sort((a, b) => a - b);
        return ages[Math.floor(set.length / 2)] ?? Infinity;
      }),
    );
  }
}
