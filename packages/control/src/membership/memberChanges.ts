import type { Join, StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";
import { DrainKey } from "@cranetrack/core/keys/drainKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { Rendezvous, RendezvousKeys } from "@cranetrack/core/membership/rendezvous.js";
import type { Outcome } from "@cranetrack/core/store/storeClient.js";
import type { RaftNode } from "../consensus/raftNode.js";
import { VoterSets } from "../consensus/voterSets.js";
import { VoterChoice, type VoterInputs } from "./voterPlan.js";

interface CatchUpRound {
  /** What an earlier leadership of this node saw says nothing of the learner now. */
  readonly term: number;
  /** The end of the leader's log when the round began. */
  readonly target: number;
  readonly beganAt: number;
  /** Whether the round before ended in time. */
  readonly isCaughtUp: boolean;
}

/**
 * Who is taken into the store and who is taken out, as long as this control node leads it.
 * Invariants: one change at a time; a joining replica learns before it votes, and votes only once it has caught up; no
 * change of voters is begun whose new set has no majority that answers just now; a machine that is
 * to leave is never taken in.
 */
export class MemberChanges {
  static readonly tickIntervalMs = 150;
  /**
   * A learner is caught up that had, within so long, all that the leader had before (thesis, 4.2.1): what it lacks then
   * can be sent while the others commit without it. In place of a voter that is lost it takes nothing from them.
   */
  static readonly catchUpMs = 1000;
  /** A control node that asked to join longer ago than this may be gone. */
  static readonly joinRequestTtlMs = 1500;
  /** Who has answered within this is there. */
  static readonly recentContactMs = 500;
  /** A joining replica starts its part of the store first, so it gets longer than a voter to be heard from. */
  static readonly learnerTimeoutMs = 3000;

  readonly #node: ClusterNode;
  readonly #raft: RaftNode;
  /** Control nodes that asked to join, by name, and when they last did. */
  readonly #joining = new Map<string, { id: string; at: number }>();
  /** The catch-up round of each learner. */
  readonly #rounds = new Map<string, CatchUpRound>();

  constructor(node: ClusterNode, raft: RaftNode) {
    this.#node = node;
    this.#raft = raft;
    node.parts.clock.every(MemberChanges.tickIntervalMs, () => this.#maintain());
  }

  /**
   * Done: it is a member. Standby: there are enough, and it is kept in mind for a loss. A joining replica is enlisted
   * in
   * answer to its own call, so that it is known to listen by the time it is sent anything.
   */
  join({ id, name }: Join): Outcome {
    this.#joining.set(name, { id, at: this.#now });
    this.#admit(id);
    const { learners } = this.#raft.members;
    const isMember = [...VoterSets.all(this.#raft.members), ...learners].some((member) => member.id === id);
    if (isMember) return { outcome: "done" };
    return this.#learnersWanted > 0 && !this.#isToLeave(name)
      ? { outcome: "away", reason: "joining" }
      : { outcome: "standby", reason: "enough control nodes vote" };
  }

  get #now(): number {
    return this.#node.parts.clock.now();
  }

  get #voterInputs(): VoterInputs {
    const { voters, learners } = this.#raft.members;
    return {
      voters,
      ready: learners.filter((member) => this.#isReady(member)),
      wanted: this.#node.parts.settings.voters,
      self: this.#raft.id,
      isLost: (member) => this.#isLost(member) || this.#isOnBlankDisk(member),
      isToLeave: (member) => this.#isToLeave(member.name),
      zoneOf: (member) => this.#zoneOf(member.name),
    };
  }

  /** How many learners are wanted beyond those that there are. */
  get #learnersWanted(): number {
    const inputs = this.#voterInputs;
    const missing = Math.max(0, inputs.wanted - inputs.voters.length);
    const surplus = Math.max(0, inputs.voters.length - inputs.wanted);
    const unfit = Math.max(0, VoterChoice.unfit(inputs).length - surplus);
    return unfit + missing - this.#raft.members.learners.length;
  }

  #maintain(): void {
    if (!this.#raft.isLeader || !this.#raft.hasStableMembers) return;
    this.#forgetStaleRequests();
    const { voters, learners } = this.#raft.members;
    const next = VoterChoice.next(this.#voterInputs);
    const isOther = next.length !== voters.length || next.some((member) => !voters.includes(member));
    if (isOther && this.#hasLiveMajority(next)) {
      const rest = learners.filter((member) => !next.includes(member));
      return this.#raft.changeMembers(next, rest);
    }
    const leaving =
      learners.find((member) => this.#isGoneLearner(member)) ??
      (this.#learnersWanted < 0 ? learners.at(-1) : undefined);
    if (leaving !== undefined)
      this.#raft.changeMembers(
        voters,
        learners.filter((member) => member !== leaving),
      );
    this.#followRounds();
  }

  /** A round ends when the learner has what the leader had at its beginning; the next one begins with its end. */
  #followRounds(): void {
    const { learners } = this.#raft.members;
    for (const id of this.#rounds.keys()) if (!learners.some((member) => member.id === id)) this.#rounds.delete(id);
    for (const { id } of learners) {
      const { match, behind } = this.#raft.progressOf(id);
      const round = this.#roundOf(id);
      if (round !== undefined && match < round.target) continue;
      const isCaughtUp = round !== undefined && this.#now - round.beganAt <= MemberChanges.catchUpMs;
      this.#rounds.set(id, { term: this.#raft.term, target: match + behind, beganAt: this.#now, isCaughtUp });
    }
  }

  #roundOf(id: string): CatchUpRound | undefined {
    const round = this.#rounds.get(id);
    return round?.term === this.#raft.term ? round : undefined;
  }

  #forgetStaleRequests(): void {
    for (const [name, { at }] of this.#joining)
      if (this.#now - at > MemberChanges.joinRequestTtlMs) this.#joining.delete(name);
  }

  /** Enlists the one that asks, if it is among the best of those that ask for as many places as there are. */
  #admit(id: string): void {
    if (!this.#raft.isLeader || !this.#raft.hasStableMembers) return;
    const { voters, learners } = this.#raft.members;
    const members = [...voters, ...learners];
    const kept = voters.filter((member) => !this.#voterInputs.isLost(member) && !this.#isToLeave(member.name));
    const zones = new Set([...kept, ...learners].map((member) => this.#zoneOf(member.name)));
    const free = [...this.#joining.entries()]
      .filter(([name, member]) => this.#isFree(name, member.id, members))
      .map(([name]) => name);
    const ranked = Rendezvous.rank(RendezvousKeys.storeVoter, free);
    const first = [
      ...ranked.filter((name) => !zones.has(this.#zoneOf(name))),
      ...ranked.filter((name) => zones.has(this.#zoneOf(name))),
    ];
    const chosen = first.slice(0, Math.max(0, this.#learnersWanted)).find((name) => this.#joining.get(name)!.id === id);
    if (chosen === undefined) return;
    this.#raft.changeMembers(voters, [...learners, { id, name: chosen } as StoreMember]);
  }

  /** Whether a control node that asks may be enlisted: not the same machine as a member that is there. */
  #isFree(name: string, id: string, members: readonly StoreMember[]): boolean {
    if (this.#isToLeave(name) || members.some((member) => member.id === id)) return false;
    return members.every((member) => member.name !== name || this.#isOnBlankDisk(member));
  }

  #hasLiveMajority(voters: readonly StoreMember[]): boolean {
    const alive = voters.filter(
      (member) => this.#raft.progressOf(member.id).heardAgo < 2 * MemberChanges.recentContactMs,
    );
    return alive.length * 2 > voters.length;
  }

  #isReady(member: StoreMember): boolean {
    const { heardAgo } = this.#raft.progressOf(member.id);
    const isCaughtUp = this.#roundOf(member.id)?.isCaughtUp === true;
    return isCaughtUp && heardAgo < MemberChanges.recentContactMs && !this.#isToLeave(member.name);
  }

  #isLost(member: StoreMember): boolean {
    return this.#raft.progressOf(member.id).heardAgo > this.#node.parts.settings.replaceVoterMs;
  }

  /** Its machine came back under its name with another disk, and the disk that it voted by is not heard from. */
  #isOnBlankDisk(member: StoreMember): boolean {
    const request = this.#joining.get(member.name);
    const isOther = request !== undefined && request.id !== member.id;
    return isOther && this.#raft.progressOf(member.id).heardAgo > MemberChanges.recentContactMs;
  }

  #isGoneLearner(member: StoreMember): boolean {
    const { heardAgo } = this.#raft.progressOf(member.id);
    const maxMs = Math.max(MemberChanges.learnerTimeoutMs, this.#node.parts.settings.replaceVoterMs);
    return heardAgo > maxMs || this.#isOnBlankDisk(member) || this.#isToLeave(member.name);
  }

  /** Its process is stopping, or operators want it drained, as the store itself says and not a feed of it. */
  #isToLeave(name: string): boolean {
    const isDraining = this.#raft.metadata.get(DrainKey.of(name)) !== undefined;
    return isDraining || this.#node.membership.find(name)?.isLeaving === true;
  }

  #zoneOf(name: string): string {
    return this.#node.membership.find(name)?.zone ?? "";
  }
}
