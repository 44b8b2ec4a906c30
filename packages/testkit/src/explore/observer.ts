import type { Frame, Members, StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { CommittedLog } from "./committedLog.js";
import type { Coverage } from "./coverage.js";
import type { ModelMachine } from "./modelMachine.js";
import type { ModelMember } from "./modelMember.js";
import { ContactWatch } from "./contactWatch.js";
import { MemberSets } from "./memberSets.js";
import { Violation, type PropertyName } from "./violation.js";

/**
 * Observes every machine's disk, every process and every frame, records what the processes promised (votes, synced
 * entries, commits), and checks after each step that the properties hold.
 */
export class Observer {
  readonly committed = new CommittedLog();
  readonly #machines: readonly ModelMachine[];
  readonly #coverage: Coverage;
  /** The process that led each term. */
  readonly #leaders = new Map<number, ModelMember>();
  /** The candidate that each voter voted for, by `VOTER in TERM`. */
  readonly #votes = new Map<string, string>();
  #lastCommittedMembers: Members | undefined;
  readonly #lastIndexes = new WeakMap<ReplicaLog, number>();
  readonly #contactWatches = new Map<ModelMember, ContactWatch>();
  /** The last commit index at which the disks were checked. */
  #checkedIndex = 0;
  readonly #durableLogs = new Map<ModelMachine, { version: number; log: ReplicaLog }>();
  /** The first violation or error since the last check; the code under test must not see it thrown. */
  #firstFault: Error | undefined;
  readonly #ignored: ReadonlySet<PropertyName>;

  constructor(machines: readonly ModelMachine[], coverage: Coverage, ignored: readonly PropertyName[] = []) {
    this.#machines = machines;
    this.#coverage = coverage;
    this.#ignored = new Set(ignored);
  }

  /** Observes a process from its start on. */
  watch(member: ModelMember): void {
    this.#contactWatches.set(member, new ContactWatch(member));
    const { raft, log, name } = member;
    const installed = (index: number): void =>
      this.captureFault(() =>
        this.committed.checkInstalled(name, index, log.snapshotTerm, raft.metadata.snapshot(undefined)),
      );
    if (log.snapshotIndex > 0) installed(log.snapshotIndex);
    raft.on("applied", ({ revision }) =>
      this.captureFault(() => {
        if (member.isActingLeader && revision > this.committed.lastIndex) this.#checkCommit(member, revision);
        this.committed.recordApplied(name, log.entryAt(revision)!, raft.metadata.snapshot(undefined));
      }),
    );
    raft.on("snapshotInstalled", () => {
      this.#coverage.count("event: snapshot installed");
      installed(raft.commitIndex);
    });
  }

  /** Runs a check and keeps what it throws until the step is over (`check`), unless the property is ignored. */
  captureFault(check: () => void): void {
    try {
      check();
    } catch (cause) {
      if (cause instanceof Violation && this.#ignored.has(cause.property)) return;
      this.#firstFault ??= cause as Error;
    }
  }

  /** The log on a machine's disk as a start after a power loss would find it. */
  durableLog(machine: ModelMachine): ReplicaLog {
    const known = this.#durableLogs.get(machine);
    if (known?.version === machine.disk.version) return known.log;
    const log = new ReplicaLog(machine.disk.durable, "store");
    this.#durableLogs.set(machine, { version: machine.disk.version, log });
    return log;
  }

  /** Checks the promises in a frame as it is sent. */
  checkSent(machine: ModelMachine, to: string, frame: Frame): void {
    this.captureFault(() => this.#checkFrame(machine, to, frame));
  }

  #checkFrame(machine: ModelMachine, to: string, { body }: Frame): void {
    const disk = this.durableLog(machine);
    if (body.case === "vote" && !body.value.isPre) {
      const isKept = disk.term === body.value.term && disk.vote === machine.diskId;
      if (!isKept && disk.term <= body.value.term)
        this.#throwUnsynced(machine, `its vote for itself in term ${body.value.term}`);
      this.#recordVote(machine, body.value.term, machine.name);
    }
    if (body.case === "voteReply" && body.value.isGranted && !body.value.isPre) {
      const { term } = body.value;
      const isKept = disk.term === term && disk.vote.startsWith(`${to}#`);
      if (!isKept && disk.term <= term) this.#throwUnsynced(machine, `a vote for ${to} in term ${term}`);
      this.#recordVote(machine, term, to);
    }
    if (body.case !== "appendReply") return;
    const { term, isAccepted, match } = body.value;
    if (disk.term < term) this.#throwUnsynced(machine, `term ${term}, with term ${disk.term} synced`);
    if (isAccepted && disk.lastIndex < match)
      this.#throwUnsynced(machine, `entries up to ${match}, with ${disk.lastIndex} synced`);
  }

  /** A frame arrived at a machine's process. */
  recordDelivered({ member }: ModelMachine, frame: Frame): void {
    if (member !== undefined) this.#contactWatches.get(member)?.recordFrame(frame);
  }

  /**
   * Checks the present state.
   * @throws the first violation or error found since the last check or now.
   */
  check(): void {
    for (const machine of this.#machines) {
      const { member } = machine;
      if (member?.isUp !== true) continue;
      this.captureFault(() => this.#checkLog(member));
      this.captureFault(() => this.#checkMembers(member));
      this.captureFault(() => this.#checkSynced(machine, member));
      if (member.isActingLeader) this.captureFault(() => this.#checkLeader(member));
      if (!member.isFrozen) this.captureFault(() => this.#contactWatches.get(member)!.check());
    }
    this.captureFault(() => this.#checkDisks());
    if (this.#firstFault !== undefined) throw this.#firstFault;
  }

  /** The state that the checks depend on in addition to the machines' own. */
  text(): string {
    return `${this.committed.text()};${[...this.#votes].sort().join()};${[...this.#leaders.keys()].join()}`;
  }

  /** The memberships that count now: the newest committed one, and those of leaders, which may be uncommitted. */
  relevantMembers(): Members[] {
    const committed = this.committed.membersAt(this.committed.lastIndex);
    const led = this.#newestLeaders().map((leader) => leader.raft.members);
    return [committed, ...led].filter((members) => members !== undefined);
  }

  /** Whether anything is committed and no membership names this disk as a voter or a learner. */
  isRemoved(id: string): boolean {
    const members = [...this.relevantMembers(), ...this.uncommittedMembers()];
    const namedMembers = members.flatMap((membership) => [...MemberSets.of(membership).flat(), ...membership.learners]);
    return this.committed.lastIndex > 0 && !namedMembers.some((member) => member.id === id);
  }

  /** Memberships in logs that go beyond the last commit, in processes or on disks: they may come into force. */
  uncommittedMembers(): Members[] {
    const logs = this.#machines.flatMap((machine) => [this.durableLog(machine), machine.member?.log]);
    return logs
      .filter((log) => log !== undefined)
      .filter((log) => log.lastIndex > this.committed.lastIndex)
      .map((log) => CommittedLog.newestMembers(log))
      .filter((members) => members !== undefined);
  }

  #throwUnsynced(machine: ModelMachine, what: string): never {
    throw new Violation("answers only what is on disk", `${machine.name} promises ${what}`);
  }

  #recordVote(machine: ModelMachine, term: number, candidate: string): void {
    const key = `${machine.diskId} in ${term}`;
    const before = this.#votes.get(key);
    if (before !== undefined && before !== candidate)
      throw new Violation("one vote a term", `${key} for ${before}, and for ${candidate}`);
    this.#votes.set(key, candidate);
  }

  #checkLeader(member: ModelMember): void {
    const { term, members } = member.raft;
    const before = this.#leaders.get(term);
    if (before === member) return;
    if (before !== undefined)
      throw new Violation("one leader a term", `${before.name} and ${member.name} both lead term ${term}`);
    this.#leaders.set(term, member);
    this.#coverage.count("event: leader elected");
    if (this.#leaders.size > 1) this.#coverage.count("event: leader replaced");
    for (const voters of MemberSets.of(members)) {
      const votes = voters.filter((voter) => this.#votes.get(`${voter.id} in ${term}`) === member.name);
      if (votes.length * 2 <= voters.length)
        throw new Violation(
          "votes of voters only",
          `${member.name} leads term ${term} by ${votes.length} votes of ${voters.length} voters`,
        );
    }
  }

  #checkLog({ name, log, raft }: ModelMember): void {
    const before = this.#lastIndexes.get(log);
    this.#lastIndexes.set(log, log.lastIndex);
    if (before !== undefined && log.lastIndex < before) this.#coverage.count("event: log truncated");
    for (let i = log.baseIndex + 1; i <= log.lastIndex; i += 1)
      this.committed.checkEntry(name, log.entryAt(i)!, log.termAt(i - 1)!);
    for (let i = Math.max(1, log.baseIndex); i <= raft.commitIndex; i += 1)
      if (log.termAt(i) !== this.committed.entryAt(i)?.term)
        throw new Violation("commits stay", `${name} no longer has entry ${i} as it was committed`);
  }

  #checkMembers({ name, log, raft }: ModelMember): void {
    const expected = CommittedLog.newestMembers(log) ?? this.committed.membersAt(log.baseIndex);
    const [inForce, written] = [MemberSets.text(raft.members), MemberSets.text(expected)];
    if (inForce !== written)
      throw new Violation("members are the log's newest", `${name} uses ${inForce}, its log says ${written}`);
  }

  #checkSynced(machine: ModelMachine, { name, log }: ModelMember): void {
    const disk = this.durableLog(machine);
    if (log.syncedIndex > log.baseIndex && disk.termAt(log.syncedIndex) !== log.termAt(log.syncedIndex))
      throw new Violation("answers only what is on disk", `${name} claims that entry ${log.syncedIndex} is synced`);
  }

  /**
   * Committed entries must be on so many disks that no member without them can be elected under any membership that
   * may be in force, and that they survive the loss of a minority of the disks. A lost disk no longer votes.
   */
  #checkDisks(): void {
    const { lastIndex } = this.committed;
    const term = this.committed.entryAt(lastIndex)?.term;
    if (term === undefined) return;
    const lacking = this.#disksLacking(lastIndex, term);
    for (const members of this.relevantMembers())
      if (MemberSets.of(members).every((voters) => Observer.#isMajority(voters, lacking)))
        throw new Violation("commits on enough disks", Observer.#missingText(lastIndex, lacking, members));
    if (lastIndex > this.#checkedIndex) this.#countMemberChange();
    this.#checkedIndex = lastIndex;
  }

  /** A leader treats an entry as committed: it must be on a majority of every voter set, and of the leader's term. */
  #checkCommit({ name, log, raft }: ModelMember, index: number): void {
    const lacking = this.#disksLacking(index, log.termAt(index)!);
    if (MemberSets.of(raft.members).some((voters) => Observer.#isMajority(voters, lacking)))
      throw new Violation("commits on enough disks", Observer.#missingText(index, lacking, raft.members));
    const term = log.termAt(raft.commitIndex);
    if (term !== raft.term)
      throw new Violation(
        "commits of the leader's own term",
        `${name} leads term ${raft.term} and commits up to entry ${raft.commitIndex}, which is of term ${term}`,
      );
  }

  /** The identities of the disks that lack an entry. */
  #disksLacking(index: number, term: number): Set<string> {
    const machines = this.#machines.filter((machine) => {
      const disk = this.durableLog(machine);
      return disk.baseIndex < index && disk.termAt(index) !== term;
    });
    return new Set(machines.map((machine) => machine.diskId));
  }

  static #isMajority(voters: readonly StoreMember[], ids: ReadonlySet<string>): boolean {
    return voters.filter((member) => ids.has(member.id)).length * 2 > voters.length;
  }

  static #missingText(index: number, lacking: ReadonlySet<string>, members: Members): string {
    return `entry ${index} is committed but not on ${[...lacking].join(", ")} (${MemberSets.text(members)})`;
  }

  #countMemberChange(): void {
    const members = this.committed.membersAt(this.committed.lastIndex)!;
    const before = this.#lastCommittedMembers;
    this.#lastCommittedMembers = members;
    if (before === undefined || before === members) return;
    const idsOf = (membership: Members): string =>
      MemberSets.of(membership)[0]!
        .map(({ id }) => id)
        .join();
    if (MemberSets.of(members).length > 1) this.#coverage.count("event: joint members committed");
    else if (idsOf(members) !== idsOf(before)) this.#coverage.count("event: other voters committed");
  }

  /** The processes that act as leaders in the newest term that any process leads. */
  #newestLeaders(): ModelMember[] {
    const leaders = this.#machines.flatMap(({ member }) => (member?.isActingLeader === true ? [member] : []));
    const newest = Math.max(0, ...leaders.map((leader) => leader.raft.term));
    return leaders.filter((leader) => leader.raft.term === newest);
  }
}
