/**
 * One member of the metadata store's Raft group. This module wires: it serves the messages, and says in which order the
 * log is synced, messages are sent and entries are applied. Who leads and who votes is decided in `election.ts`, what a
 * leader knows of the others is in `leadership.ts`, commit and apply in `applier.ts`, the members in `memberLog.ts` and
 * `membershipChange.ts`.
 */
import { EventEmitter } from "node:events";
import type { StoreMember, Members, Vote, VoteReply, Yield } from "@cranetrack/core/gen/cranetrack_pb.js";
import { FollowerLog } from "@cranetrack/core/replication/followerLog.js";
import type { CompactionBounds } from "@cranetrack/core/replication/logCompaction.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import type { Group, LogGroups } from "@cranetrack/core/replication/logGroups.js";
import type { InvariantMonitor } from "@cranetrack/core/runtime/invariantMonitor.js";
import type { RandomSource } from "@cranetrack/core/runtime/random.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { RpcEndpoint } from "@cranetrack/core/rpc/rpcEndpoint.js";
import { Rendezvous, RendezvousKeys } from "@cranetrack/core/membership/rendezvous.js";
import type { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import { Metadata, type Applied } from "../store/metadata.js";
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

/** What a Raft node works with: its identity in the founded store, its log, and the seams. */
export interface RaftNodeParts {
  /** Of this member's disk. */
  readonly id: string;
  /** Of the store: votes of another founding are ignored. */
  readonly founding: string;
  readonly log: ReplicaLog;
  readonly rpc: RpcEndpoint;
  readonly groups: LogGroups;
  /** The shortest election timeout. */
  readonly electionMs: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logBuffer: LogBuffer;
  /** Notified of entries that diverge from what is committed here; nobody is where left out. */
  readonly invariants?: Pick<InvariantMonitor, "violated">;
  /** False for a disk that is there twice or is an older copy: it neither votes nor counts. */
  readonly isTrusted: (id: string) => boolean;
  /** When the log is compacted; `storeCompaction` where left out. */
  readonly compaction?: CompactionBounds;
}

/** An append or a piece of a snapshot: both prove that their sender leads its term. */
interface LeaderMessage {
  term: number;
  sender: string;
  /** The leader's commit index, where the message has one. */
  commit?: number;
}

/** Why a leader stepped down, as its log line says. */
type StepDownReason =
  | "a higher term"
  | "no majority answers"
  | "a majority answers slowly"
  | "it is no voter any more"
  | "the process is stopping";

/**
 * One control node's part in the replicated log, by Raft's rules. Which control node leads changes with every election
 * and has no lasting meaning.
 * Invariants: at most one vote a term, synced before it is answered; `applied` never passes the commit.
 *
 * Events: `applied` after each entry; `snapshotInstalled` where a leader's snapshot took the place of the state;
 * `elected` once the first entry of the own term is committed; `deposed` when this node stops leading; `led` when it
 * begins to follow another leader.
 */
export class RaftNode extends EventEmitter<{
  applied: [applied: Applied];
  snapshotInstalled: [];
  elected: [];
  deposed: [];
  led: [];
}> {
  static readonly heartbeatIntervalMs = 75;
  /** Ticks further apart than this mean that the process stood still, and messages to it may not have been read yet. */
  static readonly maxTickGapMs = 150;

  /** The state machine, as far as this node has applied the log. */
  readonly metadata: Metadata;
  /** Of this member's disk. */
  readonly id: string;
  readonly founding: string;
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
  readonly #contact: LeaderContact;
  readonly #slowMajority = new SlowMajorityDetector();
  /** Only while this node leads. */
  #leadership: Leadership | undefined;
  #isApplyScheduled = false;
  #tickedAt: number;
  #hasPaused = false;

  constructor(parts: RaftNodeParts) {
    super();
    this.setMaxListeners(0);
    this.id = parts.id;
    this.founding = parts.founding;
    this.#log = parts.log;
    this.#rpc = parts.rpc;
    this.#clock = parts.clock;
    this.#electionMs = parts.electionMs;
    this.#logBuffer = parts.logBuffer;
    this.#contact = new LeaderContact(parts.clock, parts.electionMs);
    this.#election = new Election(parts.id, parts.clock, parts.random, parts.electionMs);
    this.#memberLog = new MemberLog(this.#log);
    this.#applier = new Applier(this.#log, this.#memberLog, parts.compaction ?? storeCompaction, parts.clock);
    this.metadata = this.#applier.metadata;
    this.#proposals = new Proposals(this.#log, this.#clock);
    const propose = (data: Uint8Array): void => void this.propose(data, entryKind.members);
    this.membershipChange = new MembershipChange(this.#memberLog, parts.logBuffer, propose);
    this.#followerLog = new FollowerLog(
      this.#log,
      this.id,
      (index) => this.#advance(index),
      (index, state) => this.#install(index, state),
      (state) => Metadata.isReadable(state),
      (at) => parts.invariants?.violated("committedLog", { group: this.#log.group, index: at }),
    );
    this.#refreshMembers();
    this.#serve(parts);
    this.#election.resetTimer();
    this.#tickedAt = this.#clock.now();
    this.#clock.every(RaftNode.heartbeatIntervalMs, () => this.#tick());
  }

  /**
   * Whether this node leads and may serve: an entry of its own term is committed (Raft, section 8) and applied, and
   * with it all that any earlier leader acknowledged.
   */
  get isLeader(): boolean {
    return this.#leadership !== undefined && this.#applier.applied >= this.#leadership.noopIndex;
  }

  /** The leader's machine, also before it may serve; empty while no leader is known. */
  get leaderName(): string {
    if (this.#leadership !== undefined) return this.#rpc.name;
    const { leaderId } = this.#election;
    return VoterSets.all(this.members).find((member) => member.id === leaderId)?.name ?? "";
  }

  /** It leads, or has heard the leader within an election timeout. */
  get hasLeader(): boolean {
    const isLeaderHeard = this.#election.leaderId !== "" && this.#contact.heardAgo < this.#electionMs;
    return this.#leadership !== undefined || isLeaderHeard;
  }

  /** The members in force: the newest in the log, committed or not. */
  get members(): Members {
    return this.#memberLog.members;
  }

  /** The last entry that is known to be committed. */
  get commit(): number {
    return this.#applier.commit;
  }

  /** The newest term that this node has heard of. */
  get term(): number {
    return this.#log.term;
  }

  /** Whether a majority stands behind what this control node sends to its feeds, and it has all that was committed. */
  get isInTouch(): boolean {
    const leadership = this.#leadership;
    if (leadership === undefined) return this.#election.leaderId !== "" && this.#contact.isCurrent;
    return (
      this.isLeader &&
      !this.#contact.hasJustResumed &&
      leadership.replicator.sinceMajorityContactMs() < this.#contact.limitMs
    );
  }

  /** Undefined: not the leader any more; the command may or may not be carried out. */
  propose(data: Uint8Array, kind: number = entryKind.command): Promise<Applied | undefined> {
    const applied = this.#proposals.propose(data, kind);
    if (kind === entryKind.members) this.#refreshMembers();
    return applied;
  }

  /**
   * A confirmed read (read index: thesis, section 6.4): true once this node is known to have led after the call began,
   * and has applied all that was committed before it.
   */
  async confirm(): Promise<boolean> {
    if (!this.isLeader) return false;
    return (await this.#proposals.confirm()) && this.isLeader;
  }

  /** How far a member has come, for the leader; others know nothing. */
  progressOf(id: string): MemberProgress {
    return this.#leadership?.progressOf(id) ?? Leadership.unknownProgress;
  }

  /** Whether the members in force are committed, and no change of voters is under way. */
  get hasStableMembers(): boolean {
    return this.membershipChange.isStable(this.#applier.commit);
  }

  /** Begins a change of members, where none is under way; other voters come by joint consensus. */
  changeMembers(voters: StoreMember[], learners: StoreMember[]): void {
    if (this.isLeader) this.membershipChange.begin(this.#applier.commit, voters, learners);
  }

  /** This node was removed from the members: it does not campaign until a leader sends to it again. */
  standBy(): void {
    this.#election.standBy();
  }

  /** Gives the term up before the process stops, so that the others need not wait for an election timeout. */
  resign(): void {
    this.#election.resign();
    this.#stepDown("the process is stopping");
  }

  #serve({ rpc, groups, isTrusted }: RaftNodeParts): void {
    rpc.serve("vote", (vote, frame) =>
      isTrusted(vote.candidate) ? this.#handleVoteRequest(vote, frame.from) : undefined,
    );
    rpc.serve("voteReply", (reply) => (isTrusted(reply.voter) ? this.#handleVoteReply(reply) : undefined));
    rpc.serve("yield", (yielded) => this.#handleYield(yielded));
    const group: Group = {
      append: (append, from) =>
        this.#handleLeaderMessage(append, from, () => this.#followerLog.take(append, this.#applier.commit)),
      snapshot: (snapshot, from) =>
        this.#handleLeaderMessage(snapshot, from, () => this.#followerLog.takeSnapshot(snapshot, this.#applier.commit)),
      onReply: (reply) => this.#leadership?.replicator.handleReply(reply),
    };
    groups.enlist(this.#log.group, messagesForDisk(this.id, isTrusted, group));
  }

  #tick(): void {
    const now = this.#clock.now();
    this.#contact.tick();
    this.#detectPause(now);
    if (this.#leadership !== undefined) return this.#tickLeader(this.#leadership, now);
    if (this.#hasPaused) return;
    // A voter that leaves campaigns too, until its removal is committed (thesis, section 4.2.2).
    const mayLead = this.membershipChange.electorate(this.#applier.commit).some((member) => member.id === this.id);
    if (mayLead && this.#election.isTimedOut(now)) this.#campaign(true);
    // After a start of all, the first request may have reached nobody yet.
    else if (this.#election.isCampaigning && this.#election.isPreVote) this.#requestVotes();
  }

  /** After a pause, one tick decides nothing from silence: the next one comes after what was sent meanwhile is read. */
  #detectPause(now: number): void {
    this.#hasPaused = !this.#hasPaused && now - this.#tickedAt > RaftNode.maxTickGapMs;
    this.#tickedAt = now;
  }

  #tickLeader({ replicator }: Leadership, now: number): void {
    const isCutOff = !this.#hasPaused && replicator.sinceMajorityContactMs() > this.#contact.limitMs;
    if (isCutOff) return this.#stepDown("no majority answers");
    if (this.#slowMajority.isSlow(now, replicator.answerMs)) {
      this.#stepDown("a majority answers slowly", true);
      return this.#election.backOff(now);
    }
    replicator.heartbeatWaiting();
    replicator.sendHeartbeats();
  }

  /** Requests pre-votes, which bind nobody, or, once a majority would vote for it, votes of the next term. */
  #campaign(isPreVote: boolean): void {
    const term = this.#log.term + 1;
    this.#election.startCampaign(term, isPreVote);
    if (isPreVote) return this.#requestVotes();
    // The own vote counts once it is synced.
    void this.#log.promise(term, this.id).then(() => void (this.#election.isCandidate(term) && this.#requestVotes()));
  }

  #requestVotes(): void {
    const { lastIndex, lastTerm } = this.#log;
    const vote = { term: this.#election.campaignTerm, candidate: this.id, lastIndex, lastTerm };
    this.#sendToVoters({
      case: "vote",
      value: { ...vote, isPre: this.#election.isPreVote, founding: this.founding },
    });
    this.#countVotes();
  }

  async #handleVoteRequest(vote: Vote, from: string): Promise<undefined> {
    if (vote.founding !== this.founding || !Number.isSafeInteger(vote.term)) return undefined;
    const { hasLeader } = this;
    const isGranted = mayGrantVote(vote, this.#log, hasLeader);
    if (!vote.isPre && !hasLeader && (vote.term > this.#log.term || isGranted)) {
      // What it campaigned for itself was an earlier term.
      this.#election.endCampaign();
      await this.#log.promise(vote.term, isGranted ? vote.candidate : "");
      this.#election.resetTimer();
    }
    // Whoever lacks the entry that names the candidate answers it too: the candidate knows whose vote counts.
    await this.#log.termSynced();
    this.#rpc.send(from, {
      case: "voteReply",
      value: { term: isGranted ? vote.term : this.#log.term, isGranted, voter: this.id, isPre: vote.isPre },
    });
    return undefined;
  }

  #handleVoteReply(reply: VoteReply): undefined {
    if (!Number.isSafeInteger(reply.term) || !VoterSets.isVoter(this.members, reply.voter)) return undefined;
    if (!reply.isGranted && reply.term > this.#log.term && this.#leadership === undefined) {
      void this.#log.promise(reply.term, "");
      // Nobody grants a term that is over: votes of the next one are requested at once.
      if (this.#election.isCampaigning) this.#campaign(true);
    }
    if (this.#election.recordVote(reply)) this.#countVotes();
    return undefined;
  }

  #countVotes(): void {
    if (!this.#election.hasMajority(this.members)) return;
    if (this.#election.isPreVote) return this.#campaign(false);
    if (this.#log.term !== this.#election.campaignTerm || this.#log.vote !== this.id) return;
    this.#becomeLeader();
  }

  #becomeLeader(): void {
    this.#election.onElected();
    const leadership = new Leadership({
      selfId: this.id,
      log: this.#log,
      clock: this.#clock,
      rpc: this.#rpc,
      commit: this.#applier.commit,
      members: () => this.members,
    });
    const { replicator } = leadership;
    this.#leadership = leadership;
    this.#proposals.begin(replicator);
    this.#slowMajority.begin(this.#clock.now());
    replicator.on("committed", (index) => this.#advance(index));
    replicator.on("deposed", (term) => {
      this.#stepDown("a higher term");
      void this.#log.promise(term, "");
    });
    this.#logBuffer.note("proposes", { term: this.#log.term });
    leadership.setMembers(this.members);
    void this.propose(new Uint8Array(), entryKind.noop);
    replicator.sendHeartbeats();
  }

  #stepDown(why: StepDownReason, isSlow = false): void {
    if (this.#leadership === undefined) return;
    this.#sendToVoters({ case: "yield", value: { term: this.#log.term, sender: this.id, isSlow } });
    this.#logBuffer.note("no longer proposes", { why, term: this.#log.term });
    this.#leadership.replicator.stop();
    this.#leadership = undefined;
    this.#election.onSteppedDown();
    this.#proposals.end();
    this.emit("deposed");
  }

  /** The leader gave its term up. The others forward that, for its message may be late, and campaign in turn. */
  #handleYield({ term, sender, isSlow }: Yield): undefined {
    if (isSlow && term >= this.#log.term) this.#slowMajority.onOtherYielded(this.#clock.now());
    const isOfLeader = term === this.#log.term && sender === this.#election.leaderId;
    if (!isOfLeader || this.#leadership !== undefined) return undefined;
    this.#election.onLeaderYielded(term);
    this.#sendToVoters({ case: "yield", value: { term, sender, isSlow } }, sender);
    const others = VoterSets.ids(this.members).filter((id) => id !== sender);
    const rank = Rendezvous.rank(RendezvousKeys.electionAfter(term), others).indexOf(this.id);
    this.#election.waitForTurn(rank);
    return undefined;
  }

  /** `receive` writes the message to the log, and gives the reply once that is synced. */
  async #handleLeaderMessage(
    message: LeaderMessage,
    from: string,
    receive: () => Promise<BodyInit>,
  ): Promise<undefined> {
    const isLed = message.term >= this.#log.term && !this.#election.hasYielded(message.term);
    if (message.term >= this.#log.term) {
      this.#election.endStandby();
      if (message.term > this.#log.term) this.#stepDown("a higher term");
      if (isLed) this.#follow(message.sender);
    }
    const reply = receive();
    if (isLed && this.#applier.applied >= (message.commit ?? Infinity)) this.#contact.onCaughtUp();
    // In force from when they are in the log, not only once the disk has them (thesis, section 4.1).
    this.#refreshMembers();
    this.#rpc.send(from, await reply);
    return undefined;
  }

  #follow(leaderId: string): void {
    this.#contact.onMessage();
    if (this.#election.onLeaderHeard(leaderId)) this.emit("led");
  }

  #advance(index: number): void {
    this.#applier.advanceCommit(index);
    if (!this.#isApplyScheduled) this.#applyCommitted();
  }

  /** A long run of entries is applied in slices, so that messages are read and answered in between. */
  #applyCommitted(): void {
    const wasLeader = this.isLeader;
    const applier = this.#applier;
    const isDone = applier.applySlice((entry, applied) => {
      this.#proposals.onApplied(entry, applied);
      this.emit("applied", applied);
    });
    if (!isDone) this.#scheduleApply();
    if (!wasLeader && this.isLeader) this.emit("elected");
    if (this.isLeader) this.membershipChange.leaveJoint(applier.commit);
    // Its removal is committed: the others elect at once.
    if (this.isLeader && this.hasStableMembers && !VoterSets.isVoter(this.members, this.id))
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

  #install(index: number, state: Uint8Array): void {
    this.#applier.install(index, state);
    this.#refreshMembers();
    this.emit("snapshotInstalled");
  }

  #refreshMembers(): void {
    if (this.#memberLog.refresh()) this.#leadership?.setMembers(this.members);
  }

  #sendToVoters(body: BodyInit, exceptId = ""): void {
    for (const { id, name } of VoterSets.all(this.members))
      if (id !== this.id && id !== exceptId) this.#rpc.send(name, body);
  }
}

/**
 * The messages of a replicated log that are meant for this disk. One to another disk of this machine, an earlier one
 * say, is dropped, and so is the acknowledgement of a disk that may not count.
 */
function messagesForDisk(id: string, isTrusted: (id: string) => boolean, group: Group): Group {
  return {
    append: (append, from) => (append.receiver === id ? group.append(append, from) : undefined),
    snapshot: (snapshot, from) => (snapshot.receiver === id ? group.snapshot(snapshot, from) : undefined),
    onReply: (reply, from) => {
      if (reply.receiver === id && isTrusted(reply.sender)) group.onReply(reply, from);
    },
  };
}
