import { EventEmitter } from "node:events";
import type { StoreMember, Members, Vote, VoteReply, Yield } from "@cranetrack/core/gen/cranetrack_pb.js";
import { FollowerLog } from "@cranetrack/core/replication/followerLog.js";
import { LogCompaction } from "@cranetrack/core/replication/logCompaction.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { LogReplicator } from "@cranetrack/core/replication/logReplicator.js";
import type { Group } from "@cranetrack/core/replication/logGroups.js";
import type { RandomSource } from "@cranetrack/core/runtime/random.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { RpcEndpoint } from "@cranetrack/core/rpc/rpcEndpoint.js";
import { Rendezvous, RendezvousKeys } from "@cranetrack/core/membership/rendezvous.js";
import type { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import { entryKind } from "./entryKind.js";
import { ownMessages } from "./ownMessages.js";
import { MemberExchange } from "./memberExchange.js";
import { MemberLog } from "./memberLog.js";
import { VoterSets } from "./voterSets.js";
import { judgeVote } from "./judgeVote.js";
import { LeaderContact } from "./leaderContact.js";
import { Metadata, type Applied } from "../store/metadata.js";
import type { RaftNodeParts } from "./raftNodeParts.js";
import { Proposals } from "./proposals.js";
import { storeCompaction } from "./storeCompaction.js";
import { SlowMajorityWatch } from "./slowMajorityWatch.js";

/** What a leader sends: its commit index, where the message tells of one. */
interface LeaderMessage {
  term: number;
  sender: string;
  commit?: number;
}

/**
 * One control node's part in the replicated log, by Raft's rules. Which control node proposes changes with every
 * election and has no lasting meaning.
 * Invariants: at most one vote a term, synced before it is answered; `applied` never passes the commit.
 */
export class RaftNode extends EventEmitter<{
  applied: [applied: Applied];
  snapshotInstalled: [];
  elected: [];
  deposed: [];
  led: [];
}> {
  static readonly heartbeatIntervalMs = 75;
  static readonly electionTurnMs = 80;

  readonly metadata = new Metadata();
  readonly id: string;
  readonly founding: string;
  readonly #log: ReplicaLog;
  readonly #rpc: RpcEndpoint;
  readonly #clock: Clock;
  readonly #electionMs: number;
  readonly #contact: LeaderContact;
  readonly #random: RandomSource;
  readonly #logBuffer: LogBuffer;
  readonly #followerLog: FollowerLog;
  readonly #proposals: Proposals;
  readonly #memberLog: MemberLog;
  readonly #compaction: LogCompaction;
  readonly membershipChange: MemberExchange;
  #replicator: LogReplicator | undefined;
  #commit: number;
  #applied: number;
  #leader = "";
  #electionAt = 0;
  #votes = new Set<string>();
  /** 0 when not asking, else the term asked for. */
  #asking = 0;
  #isPre = false;
  #noopIndex = 0;
  #isResigned = false;
  /** Taken out of the members: asks for no votes until a leader speaks to it again. */
  #isStandingBy = false;
  readonly #slowWatch = new SlowMajorityWatch();
  /** The last term whose leader gave up: whatever comes of it now was sent before. */
  #yieldedTerm = 0;

  constructor(parts: RaftNodeParts) {
    super();
    this.setMaxListeners(0);
    this.id = parts.id;
    this.founding = parts.founding;
    this.#log = parts.log;
    this.#rpc = parts.rpc;
    this.#clock = parts.clock;
    this.#electionMs = parts.electionMs;
    this.#contact = new LeaderContact(parts.clock, parts.electionMs);
    this.#random = parts.random;
    this.#logBuffer = parts.logBuffer;
    this.#commit = this.#applied = this.#log.snapshotIndex;
    this.#compaction = new LogCompaction(this.#log, parts.compaction ?? storeCompaction);
    this.#proposals = new Proposals(this.#log, this.#clock);
    this.#memberLog = new MemberLog(this.#log);
    const propose = (data: Uint8Array): void => void this.propose(data, entryKind.members);
    this.membershipChange = new MemberExchange(this.#memberLog, parts.logBuffer, propose);
    if (this.#log.snapshotIndex > 0) this.#memberLog.installed(this.metadata.install(this.#log.snapshot));
    this.#followerLog = new FollowerLog(
      this.#log,
      this.id,
      (index) => this.#advance(index),
      (index, state) => this.#install(index, state),
      (state) => Metadata.isReadable(state),
      (at) => parts.invariants?.violated("committedLog", { group: this.#log.group, index: at }),
    );
    this.#findMembers();
    this.#rpc.serve("vote", (vote, frame) =>
      parts.isTrusted(vote.candidate) ? this.#vote(vote, frame.from) : undefined,
    );
    this.#rpc.serve("voteReply", (got) => (parts.isTrusted(got.voter) ? this.#count(got) : undefined));
    this.#rpc.serve("yield", (yielded) => this.#succeed(yielded));
    const group: Group = {
      append: (append, from) => this.#take(append, from, () => this.#followerLog.take(append, this.#commit)),
      snapshot: (snapshot, from) =>
        this.#take(snapshot, from, () => this.#followerLog.takeSnapshot(snapshot, this.#commit)),
      onReply: (reply) => this.#replicator?.handleReply(reply),
    };
    parts.groups.enlist(this.#log.group, ownMessages(this.id, parts.isTrusted, group));
    this.#rearm();
    this.#clock.every(RaftNode.heartbeatIntervalMs, () => this.#tick());
  }

  get isLeader(): boolean {
    return this.#replicator !== undefined && this.#commit >= this.#noopIndex;
  }

  get leaderName(): string {
    return this.#replicator !== undefined
      ? this.#rpc.name
      : (VoterSets.all(this.members).find((one) => one.id === this.#leader)?.name ?? "");
  }

  get members(): Members {
    return this.#memberLog.members;
  }

  get commit(): number {
    return this.#commit;
  }

  get term(): number {
    return this.#log.term;
  }

  /** Whether a majority stands behind what this control node tells its feeds, and it has all that was committed. */
  get isInTouch(): boolean {
    if (this.#replicator === undefined) return this.#leader !== "" && this.#contact.isCurrent;
    return (
      this.isLeader &&
      !this.#contact.hasJustResumed &&
      this.#replicator.sinceMajorityContactMs() < this.#contact.limitMs
    );
  }

  /** Undefined: not the leader any more; the command may or may not be carried out. */
  propose(data: Uint8Array, kind: number = entryKind.command): Promise<Applied | undefined> {
    const settled = this.#proposals.propose(data, kind);
    if (kind === entryKind.members) this.#findMembers();
    return settled;
  }

  /** True once this control node is known to have proposed after the call began, and has applied all before it. */
  async confirm(): Promise<boolean> {
    if (!this.isLeader) return false;
    return (await this.#proposals.confirm()) && this.isLeader;
  }

  progressOf(id: string): { match: number; behind: number; heardAgo: number } {
    if (this.#replicator === undefined) return { match: 0, behind: Infinity, heardAgo: Infinity };
    const match = this.#replicator.matchOf(id);
    return { match, behind: this.#log.lastIndex - match, heardAgo: this.#replicator.sinceContactMs(id) };
  }

  /** Whether the members in force are committed, and no exchange of voters is under way. */
  get hasStableMembers(): boolean {
    return this.membershipChange.isSettled(this.#commit);
  }

  /** Begins a change of members, where none is under way; other voters come by joint consensus. */
  changeMembers(voters: StoreMember[], learners: StoreMember[]): void {
    if (this.isLeader) this.membershipChange.begin(this.#commit, voters, learners);
  }

  async #take(message: LeaderMessage, from: string, take: () => Promise<BodyInit>): Promise<undefined> {
    const isLed = message.term >= this.#log.term && message.term > this.#yieldedTerm;
    if (message.term >= this.#log.term) {
      this.#isStandingBy = false;
      if (message.term > this.#log.term) this.#stepDown("a higher term");
      if (isLed) this.#heed(message.sender);
    }
    const taken = take();
    if (isLed && this.#applied >= (message.commit ?? Infinity)) this.#contact.current();
    // In force from when they are in the log, not only once the disk has them (thesis, 4.1).
    this.#findMembers();
    this.#rpc.send(from, await taken);
    return undefined;
  }

  #heed(sender: string): void {
    this.#contact.heard();
    this.#asking = 0;
    this.#rearm();
    if (this.#leader === sender) return;
    this.#leader = sender;
    this.emit("led");
  }

  #tick(): void {
    const now = this.#clock.now();
    this.#contact.tick();
    if (this.#replicator !== undefined) {
      if (this.#replicator.sinceMajorityContactMs() > this.#contact.limitMs)
        return this.#stepDown("no majority answers");
      if (this.#slowWatch.isSlow(now, this.#replicator.answerMs)) return this.#giveWay(now);
      this.#replicator.heartbeatWaiting();
      return this.#replicator.sendHeartbeats();
    }
    const mayLead = this.membershipChange.voting(this.#commit).some((one) => one.id === this.id);
    if (mayLead && now >= this.#electionAt && !this.#isResigned && !this.#isStandingBy) this.#ask(true);
    // After a start of all, the first question may have reached nobody yet.
    else if (this.#asking !== 0 && this.#isPre) this.#sendVote();
  }

  /** Lets somebody else propose, and asks again itself only if nobody does. */
  #giveWay(now: number): void {
    this.#stepDown("a majority answers slowly", true);
    this.#electionAt = now + this.#electionMs * 4;
  }

  #rearm(): void {
    this.#electionAt = this.#clock.now() + this.#electionMs * (1 + this.#random.draw() * 0.8);
  }

  #ask(isPre: boolean): void {
    this.#rearm();
    this.#isPre = isPre;
    this.#leader = "";
    this.#asking = this.#log.term + 1;
    this.#votes = new Set([this.id]);
    const asking = this.#asking;
    if (isPre) return this.#sendVote();
    void this.#log
      .promise(asking, this.id)
      .then(() => void (this.#asking === asking && !this.#isPre && this.#sendVote()));
  }

  #sendVote(): void {
    const { lastIndex, lastTerm } = this.#log;
    const vote = { term: this.#asking, candidate: this.id, lastIndex, lastTerm };
    this.#tellVoters({ case: "vote", value: { ...vote, isPre: this.#isPre, founding: this.founding } });
    this.#tally();
  }

  async #vote(vote: Vote, from: string): Promise<undefined> {
    if (vote.founding !== this.founding || !Number.isSafeInteger(vote.term)) return undefined;
    const isLed = this.#replicator !== undefined || (this.#leader !== "" && this.#contact.heardAgo < this.#electionMs);
    const isGranted = judgeVote(vote, this.#log, isLed);
    if (!vote.isPre && !isLed && (vote.term > this.#log.term || isGranted)) {
      // What it asked for itself was a vote in an earlier term.
      this.#asking = 0;
      await this.#log.promise(vote.term, isGranted ? vote.candidate : "");
      this.#rearm();
    }
    // Whoever lacks the entry that names the candidate answers it too: the candidate knows whose word counts.
    await this.#log.termSynced();
    this.#rpc.send(from, {
      case: "voteReply",
      value: { term: isGranted ? vote.term : this.#log.term, isGranted, voter: this.id, isPre: vote.isPre },
    });
    return undefined;
  }

  #count(reply: VoteReply): undefined {
    if (!Number.isSafeInteger(reply.term) || !VoterSets.isVoter(this.members, reply.voter)) return undefined;
    if (!reply.isGranted && reply.term > this.#log.term && this.#replicator === undefined) {
      void this.#log.promise(reply.term, "");
      // Nobody grants a term that is over: the next one is asked for at once.
      if (this.#asking !== 0) this.#ask(true);
    }
    if (reply.isGranted && this.#asking === reply.term && reply.isPre === this.#isPre) {
      this.#votes.add(reply.voter);
      this.#tally();
    }
    return undefined;
  }

  #tally(): void {
    if (this.#asking === 0 || !VoterSets.isMajority(this.members, this.#votes)) return;
    if (this.#isPre) return this.#ask(false);
    if (this.#log.term !== this.#asking || this.#log.vote !== this.id) return;
    this.#propose();
  }

  #propose(): void {
    this.#asking = 0;
    this.#leader = this.id;
    const names = (): Map<string, string> =>
      new Map([...VoterSets.all(this.members), ...this.members.learners].map((one) => [one.id, one.name]));
    const replicator = new LogReplicator({
      log: this.#log,
      clock: this.#clock,
      self: this.id,
      term: this.#log.term,
      commit: this.#commit,
      send: (id, body) => this.#rpc.send(names().get(id) ?? "", body),
    });
    this.#replicator = replicator;
    this.#proposals.begin(replicator);
    this.#slowWatch.begin(this.#clock.now());
    replicator.on("committed", (index) => this.#advance(index));
    replicator.on("deposed", (term) => {
      this.#stepDown("a higher term");
      void this.#log.promise(term, "");
    });
    this.#logBuffer.note("proposes", { term: this.#log.term });
    this.#enlist();
    this.#noopIndex = this.#log.lastIndex + 1;
    void this.propose(new Uint8Array(), entryKind.noop);
    replicator.sendHeartbeats();
  }

  standBy(): void {
    this.#isStandingBy = true;
  }

  /** Gives the term up before the process stops, so that the others need not wait for silence. */
  resign(): void {
    this.#isResigned = true;
    this.#stepDown("the process is stopping");
  }

  /** The leader gave up: the others pass it on, for its word may be slow, and ask in turn, to split no votes. */
  #succeed({ term, sender, isSlow }: Yield): undefined {
    if (isSlow && term >= this.#log.term) this.#slowWatch.otherGaveWay(this.#clock.now());
    if (term !== this.#log.term || sender !== this.#leader || this.#replicator !== undefined) return undefined;
    this.#leader = "";
    this.#yieldedTerm = term;
    this.#tellVoters({ case: "yield", value: { term, sender, isSlow } }, sender);
    const ids = VoterSets.ids(this.members).filter((id) => id !== sender);
    const rank = Rendezvous.rank(RendezvousKeys.electionAfter(term), ids).indexOf(this.id);
    this.#electionAt = this.#clock.now() + rank * RaftNode.electionTurnMs;
    return undefined;
  }

  #stepDown(why: string, isSlow = false): void {
    if (this.#replicator === undefined) return;
    this.#tellVoters({ case: "yield", value: { term: this.#log.term, sender: this.id, isSlow } });
    this.#logBuffer.note("no longer proposes", { why, term: this.#log.term });
    this.#replicator.stop();
    this.#replicator = undefined;
    this.#leader = "";
    this.#rearm();
    this.#proposals.end();
    this.emit("deposed");
  }

  #tellVoters(body: BodyInit, except = ""): void {
    for (const { id, name } of VoterSets.all(this.members))
      if (id !== this.id && id !== except) this.#rpc.send(name, body);
  }

  #advance(index: number): void {
    const wasLeader = this.isLeader;
    this.#commit = Math.max(this.#commit, Math.min(index, this.#log.lastIndex));
    while (this.#applied < this.#commit) {
      const entry = this.#log.at(this.#applied + 1)!;
      this.#applied += 1;
      this.#compaction.applied(entry);
      const isCommand = entry.kind === entryKind.command;
      const applied: Applied = isCommand
        ? this.metadata.apply(entry.index, entry.data)
        : { outcome: "done", revision: entry.index, kvs: [], changes: [] };
      if (!isCommand) this.metadata.revision = entry.index;
      this.#proposals.applied(entry, applied);
      this.emit("applied", applied);
    }
    if (!wasLeader && this.isLeader) this.emit("elected");
    if (this.isLeader) this.membershipChange.end(this.#commit);
    // Its removal is committed: the others elect at once.
    if (this.isLeader && this.hasStableMembers && !VoterSets.isVoter(this.members, this.id))
      this.#stepDown("it is no voter any more");
    if (this.#compaction.shouldCompact) this.#compact();
  }

  #compact(): void {
    const members = this.#memberLog.snapshot(this.#applied);
    void this.#compaction.compact(this.#applied, this.metadata.snapshot(members));
  }

  #install(index: number, state: Uint8Array): void {
    this.#memberLog.installed(this.metadata.install(state));
    this.#commit = this.#applied = index;
    this.#findMembers();
    this.emit("snapshotInstalled");
  }

  #findMembers(): void {
    if (this.#memberLog.look()) this.#enlist();
  }

  #enlist(): void {
    this.#replicator?.setMembers(VoterSets.idSets(this.members), VoterSets.learnerIds(this.members));
  }
}
