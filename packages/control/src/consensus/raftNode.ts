/**
 * One member of the metadata store's Raft group. This module connects the parts: it handles the messages and fixes the
 * order in which the log is synced, messages are sent and entries are applied. `election.ts` decides on votes and
 * leadership, `leadership.ts` tracks what a leader knows of the other members, `applier.ts` commits and applies, and
 * `memberLog.ts` and `membershipChange.ts` hold the members.
 */
import { EventEmitter } from "node:events";
import type { StoreMember, Members, Vote, VoteReply, Yield } from "@cranetrack/core/gen/cranetrack_pb.js";
import { FollowerLog } from "@cranetrack/core/replication/followerLog.js";
import type { CompactionBounds } from "@cranetrack/core/replication/logCompaction.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import type { LogMessageHandlers, LogGroups } from "@cranetrack/core/replication/logGroups.js";
import type { InvariantMonitor } from "@cranetrack/core/runtime/invariantMonitor.js";
import type { RandomSource } from "@cranetrack/core/runtime/random.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { RpcEndpoint } from "@cranetrack/core/rpc/rpcEndpoint.js";
import { Rendezvous, RendezvousKeys } from "@cranetrack/core/membership/rendezvous.js";
import type { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import { Metadata, type ApplyResult } from "../store/metadata.js";
import { Applier } from "./applier.js";
import { Election, mayGrantVote } from "./election.js";
import { LeaderContact } from "./leaderContact.js";
import { Leadership, type MemberProgress } from "./leadership.js";
import { MemberLog } from "./memberLog.js";
import { MembershipChange } from "./membershipChange.js";
import { Proposals } from "./proposals.js";
import { SlowMajorityDetector } from "./slowMajorityDetector.js";
import { entryKind, storeCompaction } from "./storeLog.js";
import { VoterSets } from "./voterSets.js";

/** What a Raft node needs: its identity in the founded store, its log, and its interfaces to the process. */
export interface RaftNodeOptions {
  /** Id of this member's disk; it identifies the member in the Raft group. */
  readonly id: string;
  /** Id of the store, drawn when it was founded: vote requests with another id are ignored. */
  readonly founding: string;
  readonly log: ReplicaLog;
  readonly rpc: RpcEndpoint;
  readonly groups: LogGroups;
  /** The shortest election timeout, in milliseconds. */
  readonly electionMs: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logBuffer: LogBuffer;
  /** Notified when a leader's entries conflict with entries that are committed here; optional. */
  readonly invariants?: Pick<InvariantMonitor, "violated">;
  /** False for a disk that runs twice or is an older copy: its votes and acknowledgements are ignored. */
  readonly isTrusted: (id: string) => boolean;
  /** When the log is compacted; `storeCompaction` by default. */
  readonly compaction?: CompactionBounds;
}

/** An append or a part of a snapshot: both show that their sender leads the term. */
interface LeaderMessage {
  term: number;
  sender: string;
  /** The leader's commit index, if the message has one. */
  commit?: number;
}

/** Why a leader stepped down, as logged. */
type StepDownReason =
  | "a higher term"
  | "no majority answers"
  | "a majority answers slowly"
  | "it is no voter any more"
  | "the process is stopping";

/**
 * A control node as a member of the Raft group.
 * Invariants: a member grants at most one vote per term, and syncs it before it replies; the applied index never
 * exceeds the commit index.
 *
 * Events: `applied` after each entry; `snapshotInstalled` when a leader's snapshot has replaced the state machine;
 * `elected` once the first entry of this leader's term is committed and applied; `deposed` when this node stops
 * leading; `led` when it starts to follow another leader.
 */
export class RaftNode extends EventEmitter<{
  applied: [applied: ApplyResult];
  snapshotInstalled: [];
  elected: [];
  deposed: [];
  led: [];
}> {
  /** Interval of the timer that sends heartbeats and checks timeouts. */
  static readonly heartbeatIntervalMs = 75;
  /** A longer gap between two ticks means that the process was paused and may have unread messages. */
  static readonly maxTickGapMs = 150;

  /** The state machine with all entries that this node has applied. */
  readonly metadata: Metadata;
  /** Id of this member's disk; it identifies the member in the Raft group. */
  readonly diskId: string;
  /** Id of the store, drawn when it was founded. */
  readonly foundingId: string;
  readonly membershipChange: MembershipChange;
  readonly #log: ReplicaLog;
  readonly #rpc: RpcEndpoint;
  readonly #clock: Clock;
  readonly #electionMs: number;
  readonly #logBuffer: LogBuffer;
  readonly #memberLog: MemberLog;
  readonly #applier: Applier;
  readonly #followerLog: FollowerLog;
  readonly #proposals: Proposals;
  readonly #election: Election;
  readonly #leaderContact: LeaderContact;
  readonly #slowMajority = new SlowMajorityDetector();
  /** Defined only while this node leads. */
  #leadership: Leadership | undefined;
  /** Whether committed entries are left for a later slice. */
  #isApplyScheduled = false;
  #lastTickAt: number;
  #hasPaused = false;

  constructor(options: RaftNodeOptions) {
    super();
    this.setMaxListeners(0);
    this.diskId = options.id;
    this.foundingId = options.founding;
    this.#log = options.log;
    this.#rpc = options.rpc;
    this.#clock = options.clock;
    this.#electionMs = options.electionMs;
    this.#logBuffer = options.logBuffer;
    this.#leaderContact = new LeaderContact(options.clock, options.electionMs);
    this.#election = new Election(options.id, options.clock, options.random, options.electionMs);
    this.#memberLog = new MemberLog(this.#log);
    this.#applier = new Applier(this.#log, this.#memberLog, options.compaction ?? storeCompaction, options.clock);
    this.metadata = this.#applier.metadata;
    this.#proposals = new Proposals(this.#log, this.#clock);
    const propose = (data: Uint8Array): void => void this.propose(data, entryKind.members);
    this.membershipChange = new MembershipChange(this.#memberLog, options.logBuffer, propose);
    this.#followerLog = new FollowerLog({
      log: this.#log,
      self: this.diskId,
      onCommit: (index) => this.#advanceCommit(index),
      onSnapshot: (index, state) => this.#installSnapshot(index, state),
      isReadable: (state) => Metadata.isReadable(state),
      onDivergence: (at) => options.invariants?.violated("committedLog", { group: this.#log.group, index: at }),
    });
    this.#refreshMembers();
    this.#registerHandlers(options);
    this.#election.resetTimer();
    this.#lastTickAt = this.#clock.now();
    this.#clock.every(RaftNode.heartbeatIntervalMs, () => this.#tick());
  }

  /**
   * Whether this node leads and may serve requests: an entry of its own term is committed (Raft, section 8) and
   * applied, and with it every entry that an earlier leader acknowledged.
   */
  get isLeader(): boolean {
    return this.#leadership !== undefined && this.#applier.applied >= this.#leadership.noopIndex;
  }

  /** Name of the leader's machine, even before the leader may serve; empty while no leader is known. */
  get leaderName(): string {
    if (this.#leadership !== undefined) return this.#rpc.name;
    const { leaderId } = this.#election;
    return VoterSets.allVoters(this.members).find((member) => member.id === leaderId)?.name ?? "";
  }

  /** Whether this node leads, or has received a message from the leader within the shortest election timeout. */
  get hasLeader(): boolean {
    const isLeaderHeard = this.#election.leaderId !== "" && this.#leaderContact.sinceHeardMs < this.#electionMs;
    return this.#leadership !== undefined || isLeaderHeard;
  }

  /** The current members: the newest configuration in the log, committed or not. */
  get members(): Members {
    return this.#memberLog.members;
  }

  /** Index of the last entry that is known to be committed. */
  get commitIndex(): number {
    return this.#applier.commit;
  }

  /** The highest term that this node has recorded. */
  get term(): number {
    return this.#log.term;
  }

  /**
   * Whether the state that this node serves to feeds is current. A leader must have had recent contact with a majority;
   * a follower must recently have applied everything that its leader had committed.
   */
  get isInTouch(): boolean {
    const leadership = this.#leadership;
    if (leadership === undefined) return this.#election.leaderId !== "" && this.#leaderContact.isCurrent;
    return (
      this.isLeader &&
      !this.#leaderContact.hasJustResumed &&
      leadership.replicator.sinceMajorityContactMs() < this.#leaderContact.staleAfterMs
    );
  }

  /**
   * Proposes an entry; resolves with its result once it is applied. Resolves with undefined if this node doesn't lead
   * or stops leading meanwhile: the entry may still be committed or not.
   */
  propose(data: Uint8Array, kind: number = entryKind.command): Promise<ApplyResult | undefined> {
    const applied = this.#proposals.propose(data, kind);
    if (kind === entryKind.members) this.#refreshMembers();
    return applied;
  }

  /**
   * Confirms a linearizable read (read index: Ongaro's thesis, section 6.4). Resolves with true once a majority has
   * confirmed that this node still led after the call began; by then it has applied everything that was committed when
   * the call began.
   */
  async confirm(): Promise<boolean> {
    if (!this.isLeader) return false;
    return (await this.#proposals.confirm()) && this.isLeader;
  }

  /** A member's replication progress; `Leadership.unknownProgress` unless this node leads. */
  progressOf(id: string): MemberProgress {
    return this.#leadership?.progressOf(id) ?? Leadership.unknownProgress;
  }

  /** Whether the current configuration is committed and isn't a joint one. */
  get hasStableMembers(): boolean {
    return this.membershipChange.isStable(this.#applier.commit);
  }

  /** Starts a change of members if this node leads and none is in progress; voters change by joint consensus. */
  changeMembers(voters: StoreMember[], learners: StoreMember[]): void {
    if (this.isLeader) this.membershipChange.begin(this.#applier.commit, voters, learners);
  }

  /** Called when this node was removed from the members: it doesn't campaign until a leader contacts it again. */
  standBy(): void {
    this.#election.standBy();
  }

  /** Steps down before the process stops, so that the other members don't have to wait for an election timeout. */
  resign(): void {
    this.#election.resign();
    this.#stepDown("the process is stopping");
  }

  #registerHandlers({ rpc, groups, isTrusted }: RaftNodeOptions): void {
    rpc.serve("vote", (vote, frame) =>
      isTrusted(vote.candidate) ? this.#handleVoteRequest(vote, frame.from) : undefined,
    );
    rpc.serve("voteReply", (reply) => (isTrusted(reply.voter) ? this.#handleVoteReply(reply) : undefined));
    rpc.serve("yield", (yielded) => this.#handleYield(yielded));
    const group: LogMessageHandlers = {
      append: (append, from) =>
        this.#handleLeaderMessage(append, from, () => this.#followerLog.handleAppend(append, this.#applier.commit)),
      snapshot: (snapshot, from) =>
        this.#handleLeaderMessage(snapshot, from, () =>
          this.#followerLog.handleSnapshotPiece(snapshot, this.#applier.commit),
        ),
      onReply: (reply) => this.#leadership?.replicator.handleReply(reply),
    };
    groups.register(this.#log.group, messagesForDisk(this.diskId, isTrusted, group));
  }

  #tick(): void {
    const now = this.#clock.now();
    this.#leaderContact.tick();
    this.#detectPause(now);
    if (this.#leadership !== undefined) return this.#tickLeader(this.#leadership, now);
    if (this.#hasPaused) return;
    // A voter that is being removed may campaign until its removal is committed (Ongaro's thesis, section 4.2.2).
    const isInElectorate = this.membershipChange
      .electorate(this.#applier.commit)
      .some((member) => member.id === this.diskId);
    if (isInElectorate && this.#election.isTimedOut(now)) this.#campaign(true);
    // If all members have just started, the first request may have reached no member.
    else if (this.#election.isCampaigning && this.#election.isPreVote) this.#requestVotes();
  }

  /**
   * The first tick after a pause of the process ignores missing messages: those that arrived during the pause are read
   * before the next tick.
   */
  #detectPause(now: number): void {
    this.#hasPaused = !this.#hasPaused && now - this.#lastTickAt > RaftNode.maxTickGapMs;
    this.#lastTickAt = now;
  }

  #tickLeader({ replicator }: Leadership, now: number): void {
    const hasLostMajority = !this.#hasPaused && replicator.sinceMajorityContactMs() > this.#leaderContact.staleAfterMs;
    if (hasLostMajority) return this.#stepDown("no majority answers");
    if (this.#slowMajority.shouldYield(now, replicator.majorityReplyMs)) {
      this.#stepDown("a majority answers slowly", true);
      return this.#election.backOff(now);
    }
    replicator.sendHeartbeatsToSyncing();
    replicator.sendHeartbeats();
  }

  /** Requests pre-votes, which bind no voter, or, once a majority has granted these, votes for the next term. */
  #campaign(isPreVote: boolean): void {
    const term = this.#log.term + 1;
    this.#election.startCampaign(term, isPreVote);
    if (isPreVote) return this.#requestVotes();
    // This member's own vote counts only once it is synced.
    void this.#log
      .saveTermAndVote(term, this.diskId)
      .then(() => void (this.#election.isCandidate(term) && this.#requestVotes()));
  }

  #requestVotes(): void {
    const { lastIndex, lastTerm } = this.#log;
    const vote = { term: this.#election.campaignTerm, candidate: this.diskId, lastIndex, lastTerm };
    this.#sendToVoters({
      case: "vote",
      value: { ...vote, isPre: this.#election.isPreVote, founding: this.foundingId },
    });
    this.#countVotes();
  }

  async #handleVoteRequest(vote: Vote, from: string): Promise<undefined> {
    if (vote.founding !== this.foundingId || !Number.isSafeInteger(vote.term)) return undefined;
    const { hasLeader } = this;
    const isGranted = mayGrantVote(vote, this.#log, hasLeader);
    if (!vote.isPre && !hasLeader && (vote.term > this.#log.term || isGranted)) {
      // This member's own campaign, if any, was for an earlier term.
      this.#election.endCampaign();
      await this.#log.saveTermAndVote(vote.term, isGranted ? vote.candidate : "");
      this.#election.resetTimer();
    }
    // The vote is answered even if this log lacks the entry that makes the candidate a member: the candidate knows
    // which votes count.
    await this.#log.termSynced();
    this.#rpc.send(from, {
      case: "voteReply",
      value: { term: isGranted ? vote.term : this.#log.term, isGranted, voter: this.diskId, isPre: vote.isPre },
    });
    return undefined;
  }

  #handleVoteReply(reply: VoteReply): undefined {
    if (!Number.isSafeInteger(reply.term) || !VoterSets.isVoter(this.members, reply.voter)) return undefined;
    if (!reply.isGranted && reply.term > this.#log.term && this.#leadership === undefined) {
      void this.#log.saveTermAndVote(reply.term, "");
      // No voter grants a vote in a past term, so the campaign starts again in the next term at once.
      if (this.#election.isCampaigning) this.#campaign(true);
    }
    if (this.#election.recordVote(reply)) this.#countVotes();
    return undefined;
  }

  #countVotes(): void {
    if (!this.#election.hasMajority(this.members)) return;
    if (this.#election.isPreVote) return this.#campaign(false);
    if (this.#log.term !== this.#election.campaignTerm || this.#log.vote !== this.diskId) return;
    this.#becomeLeader();
  }

  #becomeLeader(): void {
    this.#election.onElected();
    const leadership = new Leadership({
      selfId: this.diskId,
      log: this.#log,
      clock: this.#clock,
      rpc: this.#rpc,
      commit: this.#applier.commit,
      members: () => this.members,
    });
    const { replicator } = leadership;
    this.#leadership = leadership;
    this.#proposals.startTerm(replicator);
    this.#slowMajority.onTermStarted(this.#clock.now());
    replicator.on("committed", (index) => this.#advanceCommit(index));
    replicator.on("deposed", (term) => {
      this.#stepDown("a higher term");
      void this.#log.saveTermAndVote(term, "");
    });
    this.#logBuffer.note("proposes", { term: this.#log.term });
    leadership.setMembers(this.members);
    void this.propose(new Uint8Array(), entryKind.noop);
    replicator.sendHeartbeats();
  }

  #stepDown(reason: StepDownReason, isSlow = false): void {
    if (this.#leadership === undefined) return;
    this.#sendToVoters({ case: "yield", value: { term: this.#log.term, sender: this.diskId, isSlow } });
    this.#logBuffer.note("no longer proposes", { why: reason, term: this.#log.term });
    this.#leadership.replicator.stop();
    this.#leadership = undefined;
    this.#election.onSteppedDown();
    this.#proposals.endTerm();
    this.emit("deposed");
  }

  /**
   * The leader has yielded: the other voters forward its message, which may be delayed on some links, and campaign one
   * after another.
   */
  #handleYield({ term, sender, isSlow }: Yield): undefined {
    if (isSlow && term >= this.#log.term) this.#slowMajority.onOtherYielded(this.#clock.now());
    const isFromLeader = term === this.#log.term && sender === this.#election.leaderId;
    if (!isFromLeader || this.#leadership !== undefined) return undefined;
    this.#election.onLeaderYielded(term);
    this.#sendToVoters({ case: "yield", value: { term, sender, isSlow } }, sender);
    const remainingIds = VoterSets.allVoterIds(this.members).filter((id) => id !== sender);
    const rank = Rendezvous.rank(RendezvousKeys.electionAfter(term), remainingIds).indexOf(this.diskId);
    this.#election.waitForTurn(rank);
    return undefined;
  }

  /** Handles an append or snapshot; `writeToLog` writes it to the log and resolves with the reply once it is synced. */
  async #handleLeaderMessage(
    message: LeaderMessage,
    from: string,
    writeToLog: () => Promise<BodyInit>,
  ): Promise<undefined> {
    const isFromCurrentLeader = message.term >= this.#log.term && !this.#election.isTermYielded(message.term);
    if (message.term >= this.#log.term) {
      this.#election.endStandby();
      if (message.term > this.#log.term) this.#stepDown("a higher term");
      if (isFromCurrentLeader) this.#followLeader(message.sender);
    }
    const reply = writeToLog();
    if (isFromCurrentLeader && this.#applier.applied >= (message.commit ?? Infinity)) this.#leaderContact.onCaughtUp();
    // A configuration takes effect once it is in the log, before it is synced (Ongaro's thesis, section 4.1).
    this.#refreshMembers();
    this.#rpc.send(from, await reply);
    return undefined;
  }

  #followLeader(leaderId: string): void {
    this.#leaderContact.onMessage();
    if (this.#election.onLeaderHeard(leaderId)) this.emit("led");
  }

  #advanceCommit(index: number): void {
    this.#applier.advanceCommit(index);
    if (!this.#isApplyScheduled) this.#applyCommitted();
  }

  /** Applies committed entries in time slices, so that messages are handled in between. */
  #applyCommitted(): void {
    const wasLeader = this.isLeader;
    const applier = this.#applier;
    const isFullyApplied = applier.applySlice((entry, applied) => {
      this.#proposals.onApplied(entry, applied);
      this.emit("applied", applied);
    });
    if (!isFullyApplied) this.#scheduleApply();
    if (!wasLeader && this.isLeader) this.emit("elected");
    if (this.isLeader) this.membershipChange.leaveJoint(applier.commit);
    // Its removal is committed: it steps down so that the others elect a leader at once.
    if (this.isLeader && this.hasStableMembers && !VoterSets.isVoter(this.members, this.diskId))
      this.#stepDown("it is no voter any more");
    applier.compactIfNeeded();
  }

  #scheduleApply(): void {
    this.#isApplyScheduled = true;
    this.#clock.once(0, () => {
      this.#isApplyScheduled = false;
      this.#applyCommitted();
    });
  }

  #installSnapshot(index: number, state: Uint8Array): void {
    this.#applier.install(index, state);
    this.#refreshMembers();
    this.emit("snapshotInstalled");
  }

  #refreshMembers(): void {
    if (this.#memberLog.refresh()) this.#leadership?.setMembers(this.members);
  }

  #sendToVoters(body: BodyInit, excludedId = ""): void {
    for (const { id, name } of VoterSets.allVoters(this.members))
      if (id !== this.diskId && id !== excludedId) this.#rpc.send(name, body);
  }
}

/**
 * Wraps a group so that it handles only messages addressed to this disk. Messages to another disk of this machine, such
 * as an earlier one, are dropped, and so are acknowledgements of an untrusted disk.
 */
function messagesForDisk(
  id: string,
  isTrusted: (id: string) => boolean,
  group: LogMessageHandlers,
): LogMessageHandlers {
  return {
    append: (append, from) => (append.receiver === id ? group.append(append, from) : undefined),
    snapshot: (snapshot, from) => (snapshot.receiver === id ? group.snapshot(snapshot, from) : undefined),
    onReply: (reply, from) => {
      if (reply.receiver === id && isTrusted(reply.sender)) group.onReply(reply, from);
    },
  };
}
