import type { Join, StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";
import { DrainKey } from "@cranetrack/core/keys/drainKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { StoreOutcome } from "@cranetrack/core/store/storeClient.js";
import type { RaftNode } from "../consensus/raftNode.js";
import { VoterSets } from "../consensus/voterSets.js";
import { chooseVoters, rankCandidates, unfitVoters, type VoterInputs } from "./voterChoice.js";

/** One round of replication to a learner (Ongaro's thesis, section 4.2.1). */
interface CatchUpRound {
  /** The leader's term; rounds of an earlier term of this leader don't count. */
  readonly term: number;
  /** Index of the last entry of the leader's log when the round started; the round ends when the learner has it. */
  readonly targetIndex: number;
  readonly startedAt: number;
  /** Whether the previous round took at most `MemberChanges.catchUpMs`. */
  readonly isCaughtUp: boolean;
}

/**
 * Admits control nodes to the store and removes them while this control node leads the store.
 * Invariants: there is one change at a time; a new member is a learner first, and votes only once it has caught up; a
 * change of voters starts only if a majority of the new set has answered recently; leaving machines are not admitted.
 */
export class MemberChanges {
  /** How often the leader checks whether members must be changed. */
  static readonly tickIntervalMs = 150;
  /**
   * A learner has caught up once it finishes a round within this time (Ongaro's thesis, section 4.2.1): the remaining
   * entries can then be sent while the other voters commit without it. As the replacement of a lost voter it doesn't
   * reduce availability.
   */
  static readonly catchUpMs = 1000;
  /** A request to join is valid for this long; a node that did not repeat it since may be gone. */
  static readonly joinRequestTtlMs = 1500;
  /** A member that has answered within this time counts as up. */
  static readonly recentContactMs = 500;
  /** How long a learner may be silent; longer than a voter, as a new member has to start its Raft node first. */
  static readonly learnerTimeoutMs = 3000;

  readonly #node: ClusterNode;
  readonly #raft: RaftNode;
  /** The disk id and the time of the last request of each control node that asked to join, by machine name. */
  readonly #joinRequests = new Map<string, { id: string; at: number }>();
  /** The current catch-up round of each learner, by disk id. */
  readonly #rounds = new Map<string, CatchUpRound>();

  constructor(node: ClusterNode, raft: RaftNode) {
    this.#node = node;
    this.#raft = raft;
    node.parts.clock.every(MemberChanges.tickIntervalMs, () => this.#reconcile());
  }

  /**
   * Handles a request to join. Outcome `done`: the node is a member. `standby`: there are enough members, and the node
   * is remembered in case one is lost. `away`: it has to ask again. A node is only admitted while its own request is
   * handled, so that it is known to be listening before the leader sends to it.
   */
  join({ id, name }: Join): StoreOutcome {
    this.#joinRequests.set(name, { id, at: this.#now });
    this.#admit(id);
    const { learners } = this.#raft.members;
    const isMember = [...VoterSets.allVoters(this.#raft.members), ...learners].some((member) => member.id === id);
    if (isMember) return { outcome: "done" };
    return this.#missingLearnerCount > 0 && !this.#isLeaving(name)
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
      readyLearners: learners.filter((member) => this.#isReady(member)),
      wantedCount: this.#node.parts.settings.voters,
      selfId: this.#raft.diskId,
      isLost: (member) => this.#isLost(member) || this.#isOnBlankDisk(member),
      isLeaving: (member) => this.#isLeaving(member.name),
      zoneOf: (member) => this.#zoneOf(member.name),
    };
  }

  /** How many more learners are needed; negative if there are too many. */
  get #missingLearnerCount(): number {
    const inputs = this.#voterInputs;
    const missing = Math.max(0, inputs.wantedCount - inputs.voters.length);
    const surplus = Math.max(0, inputs.voters.length - inputs.wantedCount);
    const unfit = Math.max(0, unfitVoters(inputs).length - surplus);
    return unfit + missing - this.#raft.members.learners.length;
  }

  #reconcile(): void {
    if (!this.#raft.isLeader || !this.#raft.hasStableMembers) return;
    this.#dropExpiredRequests();
    const { voters, learners } = this.#raft.members;
    const next = chooseVoters(this.#voterInputs);
    const isChanged = next.length !== voters.length || next.some((member) => !voters.includes(member));
    if (isChanged && this.#hasLiveMajority(next)) {
      const remainingLearners = learners.filter((member) => !next.includes(member));
      return this.#raft.changeMembers(next, remainingLearners);
    }
    const learnerToRemove =
      learners.find((member) => this.#shouldRemoveLearner(member)) ??
      (this.#missingLearnerCount < 0 ? learners.at(-1) : undefined);
    if (learnerToRemove !== undefined)
      this.#raft.changeMembers(
        voters,
        learners.filter((member) => member !== learnerToRemove),
      );
    this.#updateCatchUpRounds();
  }

  /** Starts a new round for each learner that has none or has reached the target index of its current one. */
  #updateCatchUpRounds(): void {
    const { learners } = this.#raft.members;
    for (const id of this.#rounds.keys()) if (!learners.some((member) => member.id === id)) this.#rounds.delete(id);
    for (const { id } of learners) {
      const { matchIndex: match, entriesBehind } = this.#raft.progressOf(id);
      const round = this.#roundOf(id);
      if (round !== undefined && match < round.targetIndex) continue;
      const isCaughtUp = round !== undefined && this.#now - round.startedAt <= MemberChanges.catchUpMs;
      this.#rounds.set(id, {
        term: this.#raft.term,
        targetIndex: match + entriesBehind,
        startedAt: this.#now,
        isCaughtUp,
      });
    }
  }

  #roundOf(id: string): CatchUpRound | undefined {
    const round = this.#rounds.get(id);
    return round?.term === this.#raft.term ? round : undefined;
  }

  #dropExpiredRequests(): void {
    for (const [name, { at }] of this.#joinRequests)
      if (this.#now - at > MemberChanges.joinRequestTtlMs) this.#joinRequests.delete(name);
  }

  /**
   * Admits the node with this disk id as a learner if it is among the highest ranked candidates for the free places.
   */
  #admit(id: string): void {
    if (!this.#raft.isLeader || !this.#raft.hasStableMembers) return;
    const { voters, learners } = this.#raft.members;
    const members = [...voters, ...learners];
    const stayingVoters = voters.filter((member) => !this.#voterInputs.isLost(member) && !this.#isLeaving(member.name));
    const zones = new Set([...stayingVoters, ...learners].map((member) => this.#zoneOf(member.name)));
    const admissible = [...this.#joinRequests.entries()]
      .filter(([name, request]) => this.#isAdmissible(name, request.id, members))
      .map(([name]) => name);
    const candidates = rankCandidates(admissible, zones, (name) => this.#zoneOf(name));
    const chosenName = candidates
      .slice(0, Math.max(0, this.#missingLearnerCount))
      .find((name) => this.#joinRequests.get(name)!.id === id);
    if (chosenName === undefined) return;
    this.#raft.changeMembers(voters, [...learners, { id, name: chosenName } as StoreMember]);
  }

  /**
   * Whether a control node that asks to join may be admitted: it isn't a member yet, its machine isn't leaving, and no
   * other disk of the machine is in the store, except one that no longer answers.
   */
  #isAdmissible(name: string, id: string, currentMembers: readonly StoreMember[]): boolean {
    if (this.#isLeaving(name) || currentMembers.some((member) => member.id === id)) return false;
    return currentMembers.every((member) => member.name !== name || this.#isOnBlankDisk(member));
  }

  #hasLiveMajority(voters: readonly StoreMember[]): boolean {
    const alive = voters.filter(
      (member) => this.#raft.progressOf(member.id).sinceHeardMs < 2 * MemberChanges.recentContactMs,
    );
    return alive.length * 2 > voters.length;
  }

  #isReady(member: StoreMember): boolean {
    const { sinceHeardMs } = this.#raft.progressOf(member.id);
    const isCaughtUp = this.#roundOf(member.id)?.isCaughtUp === true;
    return isCaughtUp && sinceHeardMs < MemberChanges.recentContactMs && !this.#isLeaving(member.name);
  }

  #isLost(member: StoreMember): boolean {
    return this.#raft.progressOf(member.id).sinceHeardMs > this.#node.parts.settings.replaceVoterMs;
  }

  /** Whether the member's machine asks to join with another disk while its disk in the store doesn't answer. */
  #isOnBlankDisk(member: StoreMember): boolean {
    const request = this.#joinRequests.get(member.name);
    const isOtherDisk = request !== undefined && request.id !== member.id;
    return isOtherDisk && this.#raft.progressOf(member.id).sinceHeardMs > MemberChanges.recentContactMs;
  }

  #shouldRemoveLearner(member: StoreMember): boolean {
    const { sinceHeardMs } = this.#raft.progressOf(member.id);
    const timeoutMs = Math.max(MemberChanges.learnerTimeoutMs, this.#node.parts.settings.replaceVoterMs);
    return sinceHeardMs > timeoutMs || this.#isOnBlankDisk(member) || this.#isLeaving(member.name);
  }

  /**
   * Whether the machine's process is stopping or operators want the machine drained. Reads the store's own state, as a
   * feed may lag.
   */
  #isLeaving(name: string): boolean {
    const isDraining = this.#raft.metadata.get(DrainKey.of(name)) !== undefined;
    return isDraining || this.#node.membership.find(name)?.isLeaving === true;
  }

  #zoneOf(name: string): string {
    return this.#node.membership.find(name)?.zone ?? "";
  }
}
