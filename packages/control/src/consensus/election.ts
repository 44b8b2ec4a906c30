/**
 * Elections of the metadata store's leader: Raft, sections 5.2 and 5.4.1, with the pre-vote of Ongaro's thesis, section
 * 9.6. State and decisions alone: `RaftNode` sends and syncs, so that one place says what happens before what.
 */
import type { Members, Vote, VoteReply } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { RandomSource } from "@cranetrack/core/runtime/random.js";
import { VoterSets } from "./voterSets.js";

/**
 * Whether a vote may be granted (Raft, section 5.4.1): to a log at least as up to date, once a term, and to nobody
 * while a leader is heard (thesis, section 4.2.3). A pre-vote promises nothing, so it needs a higher term.
 */
export function mayGrantVote(vote: Vote, log: ReplicaLog, hasLeader: boolean): boolean {
  const isUpToDate =
    vote.lastTerm > log.lastTerm || (vote.lastTerm === log.lastTerm && vote.lastIndex >= log.lastIndex);
  if (!isUpToDate || hasLeader) return false;
  if (vote.term > log.term) return true;
  return !vote.isPre && vote.term === log.term && (log.vote === "" || log.vote === vote.candidate);
}

/**
 * Who leads as far as this member knows, when it campaigns next, and the votes of its campaign.
 * Invariants: at most one campaign at a time; only votes for its term and phase (pre-vote or vote) count; a leader that
 * yielded its term is not followed again in that term.
 */
export class Election {
  /** After a yield the members campaign one after the other, this many milliseconds apart, to split no votes. */
  static readonly turnMs = 80;
  /** How many election timeouts a leader that gave way waits before it campaigns again. */
  static readonly backOffTimeouts = 4;

  readonly #selfId: string;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #electionMs: number;
  #leaderId = "";
  /** When this member campaigns, unless it hears a leader before. */
  #deadline = 0;
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

  /** Disk id of the leader, this member included; empty while none is known. */
  get leaderId(): string {
    return this.#leaderId;
  }

  /** The term that votes are requested for; 0 without a campaign. */
  get campaignTerm(): number {
    return this.#campaignTerm;
  }

  /** Whether votes are being requested, pre-votes included; ends with a win, a contact of a leader or a higher term. */
  get isCampaigning(): boolean {
    return this.#campaignTerm !== 0;
  }

  /** Whether the campaign is, or the last one was, in its pre-vote. */
  get isPreVote(): boolean {
    return this.#isPreVote;
  }

  /** Whether to campaign now: no leader was heard in time, and this member takes part in elections. */
  isTimedOut(now: number): boolean {
    return now >= this.#deadline && !this.#isResigned && !this.#isStandby;
  }

  /** Draws the next timeout: 1 to 1.8 times the configured one (Raft, section 5.2: randomized timeouts). */
  resetTimer(): void {
    this.#deadline = this.#clock.now() + this.#electionMs * (1 + this.#random.draw() * 0.8);
  }

  /** Lets others lead first; this member campaigns again only if nobody does. */
  backOff(now: number): void {
    this.#deadline = now + this.#electionMs * Election.backOffTimeouts;
  }

  /** Begins a campaign with its own vote; one under way is given up. */
  startCampaign(term: number, isPreVote: boolean): void {
    this.resetTimer();
    this.#isPreVote = isPreVote;
    this.#leaderId = "";
    this.#campaignTerm = term;
    this.#votes = new Set([this.#selfId]);
  }

  /** Votes that are still on their way count no more: this member has promised its vote to another. */
  endCampaign(): void {
    this.#campaignTerm = 0;
  }

  /** Whether real votes are still requested for a term, once the own vote in it is synced. */
  isCandidate(term: number): boolean {
    return this.#campaignTerm === term && !this.#isPreVote;
  }

  /** Counts a granted vote; false where it isn't one for this campaign. The caller checks that the voter is one. */
  recordVote(reply: VoteReply): boolean {
    if (!reply.isGranted || this.#campaignTerm !== reply.term || reply.isPre !== this.#isPreVote) return false;
    this.#votes.add(reply.voter);
    return true;
  }

  /** Whether the campaign has a majority, of both sets in a joint configuration. */
  hasMajority(members: Members): boolean {
    return this.isCampaigning && VoterSets.isMajority(members, this.#votes);
  }

  /** This member won its campaign. */
  onElected(): void {
    this.#campaignTerm = 0;
    this.#leaderId = this.#selfId;
  }

  /** A leader of the current term is heard; true where it was not known to lead. */
  onLeaderHeard(leaderId: string): boolean {
    this.#campaignTerm = 0;
    this.resetTimer();
    if (this.#leaderId === leaderId) return false;
    this.#leaderId = leaderId;
    return true;
  }

  /** This member leads no longer, and waits a full timeout before it campaigns. */
  onSteppedDown(): void {
    this.#leaderId = "";
    this.resetTimer();
  }

  /** The leader of a term gave it up: whatever still comes of that term was sent before. */
  onLeaderYielded(term: number): void {
    this.#leaderId = "";
    this.#yieldedTerm = term;
  }

  /** Whether the leader of a term is followed no more, since it or a later one gave up. */
  hasYielded(term: number): boolean {
    return term <= this.#yieldedTerm;
  }

  /** Campaigns after those of a lower rank have had their turn. */
  waitForTurn(rank: number): void {
    this.#deadline = this.#clock.now() + rank * Election.turnMs;
  }

  /** Removed from the members: no campaign until a leader sends to it again. */
  standBy(): void {
    this.#isStandby = true;
  }

  /** A leader sends to this member: it belongs to the members again. */
  endStandby(): void {
    this.#isStandby = false;
  }

  /** The process is stopping: no campaign any more. */
  resign(): void {
    this.#isResigned = true;
  }
}
