/**
 * Leader election (Raft, sections 5.2 and 5.4.1) with pre-vote (Ongaro's thesis, section 9.6). This module holds only
 * state and decisions: `RaftNode` sends and syncs, so that the order of these steps is set in one place.
 */
import type { Members, Vote, VoteReply } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { RandomSource } from "@cranetrack/core/runtime/random.js";
import { VoterSets } from "./voterSets.js";

/**
 * Whether a vote may be granted: the candidate's log is at least as up to date (Raft, section 5.4.1), no other
 * candidate got this member's vote in the term, and this member has no leader (Ongaro's thesis, section 4.2.3). A
 * pre-vote isn't recorded as a vote, and is granted only for a higher term.
 */
export function mayGrantVote(vote: Vote, log: ReplicaLog, hasLeader: boolean): boolean {
  const isUpToDate =
    vote.lastTerm > log.lastTerm || (vote.lastTerm === log.lastTerm && vote.lastIndex >= log.lastIndex);
  if (!isUpToDate || hasLeader) return false;
  if (vote.term > log.term) return true;
  return !vote.isPre && vote.term === log.term && (log.vote === "" || log.vote === vote.candidate);
}

/**
 * The election state of one member: the leader that it knows, its election timer and the votes of its campaign.
 * Invariants: there is at most one campaign at a time; only votes for its term and phase (pre-vote or vote) count; a
 * leader that yielded its term is not followed again in that term.
 */
export class Election {
  /** After a leader yields, members start to campaign this many milliseconds apart, to avoid split votes. */
  static readonly campaignStaggerMs = 80;
  /** How many election timeouts a leader that yielded for slowness waits before it campaigns again. */
  static readonly backOffTimeouts = 4;

  readonly #selfId: string;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #electionMs: number;
  #leaderId = "";
  /** When this member campaigns unless a leader contacts it first, in milliseconds by the clock. */
  #campaignAt = 0;
  #votes = new Set<string>();
  #campaignTerm = 0;
  #isPreVote = false;
  #isResigned = false;
  #isStandby = false;
  #yieldedTerm = 0;

  constructor(selfId: string, clock: Clock, random: RandomSource, electionMs: number) {
    this.#selfId = selfId;
    this.#clock = clock;
    this.#random = random;
    this.#electionMs = electionMs;
  }

  /** Disk id of the leader, which may be this member; empty while none is known. */
  get leaderId(): string {
    return this.#leaderId;
  }

  /** The term that this member campaigns for; 0 when there is no campaign. */
  get campaignTerm(): number {
    return this.#campaignTerm;
  }

  /**
   * Whether this member is requesting votes or pre-votes. A campaign ends when it is won, when a leader sends a
   * message, or when this member takes part in another candidate's election.
   */
  get isCampaigning(): boolean {
    return this.#campaignTerm !== 0;
  }

  /** Whether the campaign, or the last one if none is running, is in its pre-vote phase. */
  get isPreVote(): boolean {
    return this.#isPreVote;
  }

  /** Whether to campaign now: the election timeout has passed, and this member takes part in elections. */
  isTimedOut(now: number): boolean {
    return now >= this.#campaignAt && !this.#isResigned && !this.#isStandby;
  }

  /** Restarts the timer with a random timeout of 1 to 1.8 times the configured one (Raft, section 5.2). */
  resetTimer(): void {
    this.#campaignAt = this.#clock.now() + this.#electionMs * (1 + this.#random.draw() * 0.8);
  }

  /** Gives the other members time to elect a leader; this member campaigns only if none of them is elected. */
  backOff(now: number): void {
    this.#campaignAt = now + this.#electionMs * Election.backOffTimeouts;
  }

  /** Starts a campaign with this member's own vote; it replaces a running campaign. */
  startCampaign(term: number, isPreVote: boolean): void {
    this.resetTimer();
    this.#isPreVote = isPreVote;
    this.#leaderId = "";
    this.#campaignTerm = term;
    this.#votes = new Set([this.#selfId]);
  }

  /** Ends the campaign, so that votes in transit no longer count: this member takes part in another election. */
  endCampaign(): void {
    this.#campaignTerm = 0;
  }

  /** Whether this member is still campaigning for real votes in the term; checked once its own vote is synced. */
  isCandidate(term: number): boolean {
    return this.#campaignTerm === term && !this.#isPreVote;
  }

  /**
   * Records a granted vote; returns false if it was refused or isn't for this campaign. The caller checks that the
   * sender is a voter.
   */
  recordVote(reply: VoteReply): boolean {
    if (!reply.isGranted || this.#campaignTerm !== reply.term || reply.isPre !== this.#isPreVote) return false;
    this.#votes.add(reply.voter);
    return true;
  }

  /** Whether the campaign has a majority; in a joint configuration, a majority of both sets. */
  hasMajority(members: Members): boolean {
    return this.isCampaigning && VoterSets.isMajority(members, this.#votes);
  }

  /** Records that this member won its campaign. */
  onElected(): void {
    this.#campaignTerm = 0;
    this.#leaderId = this.#selfId;
  }

  /** Records a message from the leader of the current term; returns whether that leader is new to this member. */
  onLeaderHeard(leaderId: string): boolean {
    this.#campaignTerm = 0;
    this.resetTimer();
    if (this.#leaderId === leaderId) return false;
    this.#leaderId = leaderId;
    return true;
  }

  /** Records that this member stopped leading; it waits a full election timeout before it campaigns. */
  onSteppedDown(): void {
    this.#leaderId = "";
    this.resetTimer();
  }

  /** Records that the leader yielded this term: messages of the term that arrive later were sent before. */
  onLeaderYielded(term: number): void {
    this.#leaderId = "";
    this.#yieldedTerm = term;
  }

  /** Whether messages of this term's leader no longer count, because the leader of this or a later term yielded. */
  isTermYielded(term: number): boolean {
    return term <= this.#yieldedTerm;
  }

  /** Sets the timer so that members campaign one after another, in order of their rank from 0. */
  waitForTurn(rank: number): void {
    this.#campaignAt = this.#clock.now() + rank * Election.campaignStaggerMs;
  }

  /** This member was removed: it doesn't campaign until a leader contacts it again. */
  standBy(): void {
    this.#isStandby = true;
  }

  /** A leader contacted this member, so it is a member again and may campaign. */
  endStandby(): void {
    this.#isStandby = false;
  }

  /** The process is stopping: this member doesn't campaign any more. */
  resign(): void {
    this.#isResigned = true;
  }
}
