import type { Join, StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { Rendezvous } from "@cranetrack/core/membership/rendezvous.js";
import type { Outcome } from "@cranetrack/core/store/storeClient.js";
import type { RaftNode } from "../consensus/raftNode.js";

/**
 * Who is taken into the store and who is taken out, as long as this lathe proposes.
 * Invariants: one change at a time; a newcomer learns before it votes; a voter is taken out only where those that
 * answer stay a majority of the rest.
 */
export class MemberChanges {
  static readonly beatMs = 300;
  /** A lathe that asked to join longer ago than this may be gone. */
  static readonly askedMs = 4000;
  static readonly aliveMs = 1000;

  readonly #node: ClusterNode;
  readonly #ledger: RaftNode;
  /** Lathes that asked to join, by name, and when they last did. */
  readonly #joining = new Map<string, { id: string; at: number }>();

  constructor(node: ClusterNode, ledger: RaftNode) {
    this.#node = node;
    this.#ledger = ledger;
    node.parts.clock.every(MemberChanges.beatMs, () => this.#tend());
  }

  /** Done: it is a member. Standby: there are enough, and it is kept in mind for a loss. */
  join({ id, name }: Join): Outcome {
    this.#joining.set(name, { id, at: this.#node.parts.clock.now() });
    const members = [...this.#ledger.members.voters, ...this.#ledger.members.learners];
    if (members.some((one) => one.id === id)) return { outcome: "done" };
    const isAwaited = members.some((one) => one.name === name) || members.length < this.#wanted;
    return isAwaited ? { outcome: "away", reason: "joining" } : { outcome: "standby", reason: "enough lathes vote" };
  }

  get #wanted(): number {
    return this.#node.parts.settings.voters;
  }

  #tend(): void {
    if (!this.#ledger.isLeader) return;
    const { voters, learners } = this.#ledger.members;
    const grown = learners.find((one) => this.#isReady(one));
    const gone = learners.find((one) => this.#isLost(one));
    const back = this.#comeBack([...voters, ...learners]);
    const without = (list: StoreMember[], out: StoreMember): StoreMember[] => list.filter((one) => one !== out);
    if (grown !== undefined) this.#ledger.changeMembers([...voters, grown], without(learners, grown));
    else if (gone !== undefined) this.#ledger.changeMembers(voters, without(learners, gone));
    else if (back !== undefined) this.#ledger.changeMembers(without(voters, back), without(learners, back));
    else if (voters.length > this.#wanted) this.#reduce(voters, learners);
    else if (learners.length === 0 && (voters.length < this.#wanted || voters.some((one) => this.#isLost(one))))
      this.#takeIn(voters);
  }

  /** A member whose lathe came back under its name with another disk. */
  #comeBack(members: StoreMember[]): StoreMember | undefined {
    for (const [name, { id, at }] of this.#joining) {
      const isOver = this.#node.parts.clock.now() - at > MemberChanges.askedMs;
      if (isOver || members.some((one) => one.id === id)) this.#joining.delete(name);
    }
    return members.find((one) => this.#joining.has(one.name));
  }

  #takeIn(voters: StoreMember[]): void {
    const zones = new Set(voters.filter((one) => !this.#isLost(one)).map((one) => this.#zoneOf(one.name)));
    const ranked = Rendezvous.rank("voter", [...this.#joining.keys()]);
    const name = ranked.find((one) => !zones.has(this.#zoneOf(one))) ?? ranked[0];
    if (name === undefined) return;
    this.#ledger.changeMembers(voters, [{ id: this.#joining.get(name)!.id, name } as StoreMember]);
  }

  /** Whoever is lost goes first; else one whose zone has another voter; never this lathe itself. */
  #reduce(voters: StoreMember[], learners: StoreMember[]): void {
    const others = voters.filter((one) => one.id !== this.#ledger.id).reverse();
    const zones = voters.map((one) => this.#zoneOf(one.name));
    const isDouble = (one: StoreMember): boolean => zones.filter((zone) => zone === this.#zoneOf(one.name)).length > 1;
    const out = others.find((one) => this.#isLost(one)) ?? others.find(isDouble) ?? others[0];
    const rest = voters.filter((one) => one !== out);
    const alive = rest.filter((one) => this.#ledger.matchOf(one.id).heardAgo < MemberChanges.aliveMs);
    if (alive.length * 2 > rest.length) this.#ledger.changeMembers(rest, learners);
  }

  /** It has answered: whoever never did counts as heard from when it was enlisted. */
  #isReady(one: StoreMember): boolean {
    const { match, behind, heardAgo } = this.#ledger.matchOf(one.id);
    return match > 0 && behind < 50 && heardAgo < 500;
  }

  #isLost(one: StoreMember): boolean {
    return this.#ledger.matchOf(one.id).heardAgo > this.#node.parts.settings.replaceVoterMs;
  }

  #zoneOf(name: string): string {
    return this.#node.membership.find(name)?.zone ?? "";
  }
}
