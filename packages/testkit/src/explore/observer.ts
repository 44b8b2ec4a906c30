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
 * Sees every machine's disk, every process and every frame, remembers what was promised, and checks after each step
 * that all of it holds.
 */
export class Observer {
  readonly committed = new CommittedLog();
  readonly #machines: readonly ModelMachine[];
  readonly #coverage: Coverage;
  /** Term to the process that led it. */
  readonly #leaders = new Map<number, ModelMember>();
  /** Voter and term to the name of the candidate. */
  readonly #votes = new Map<string, string>();
  #members: Members | undefined;
  readonly #lastIndexes = new WeakMap<ReplicaLog, number>();
  readonly #contacts = new Map<ModelMember, ContactWatch>();
  /** The last commit whose disks were looked at as it came about. */
  #checkedIndex = 0;
  readonly #durable = new Map<ModelMachine, { version: number; log: ReplicaLog }>();
  /** Found where it must not be thrown: in the middle of the code under test. */
  #found: Error | undefined;
  readonly #ignored: ReadonlySet<PropertyName>;

  constructor(machines: readonly ModelMachine[], coverage: Coverage, ignored: readonly PropertyName[] = []) {
    this.#machines = machines;
    this.#coverage = coverage;
    this.#ignored = new Set(ignored);
  }

  /** Listens to a process from its start on. */
  watch(member: ModelMember): void {
    this.#contacts.set(member, new ContactWatch(member));
    const { raft, log, name } = member;
    const installed = (index: number): void =>
      this.keep(() => this.committed.installed(name, index, log.snapshotTerm, raft.metadata.snapshot(undefined)));
    if (log.snapshotIndex > 0) installed(log.snapshotIndex);
    raft.on("applied", ({ revision }) =>
      this.keep(() => {
        if (member.isActingLeader && revision > this.committed.last) this.#checkCommit(member, revision);
        this.committed.applied(name, log.at(revision)!, raft.metadata.snapshot(undefined));
      }),
    );
    raft.on("snapshotInstalled", () => {
      this.#coverage.count("event: snapshot installed");
      installed(raft.commit);
    });
  }

  /** Keeps what is found until the step is over. */
  keep(look: () => void): void {
    try {
      look();
    } catch (cause) {
      if (cause instanceof Violation && this.#ignored.has(cause.property)) return;
      this.#found ??= cause as Error;
    }
  }

  /** What is on a machine's disk, as a start after a loss of power would find it. */
  durable(machine: ModelMachine): ReplicaLog {
    const known = this.#durable.get(machine);
    if (known?.version === machine.disk.version) return known.log;
    const log = new ReplicaLog(machine.disk.durable, "store");
    this.#durable.set(machine, { version: machine.disk.version, log });
    return log;
  }

  /** Promises are judged as they are sent. */
  sent(machine: ModelMachine, to: string, frame: Frame): void {
    this.keep(() => this.#checkFrame(machine, to, frame));
  }

  #checkFrame(machine: ModelMachine, to: string, { body }: Frame): void {
    const disk = this.durable(machine);
    if (body.case === "vote" && !body.value.isPre) {
      const isKept = disk.term === body.value.term && disk.vote === machine.diskId;
      if (!isKept && disk.term <= body.value.term) this.#unsynced(machine, `its vote for itself in ${body.value.term}`);
      this.#voted(machine, body.value.term, machine.name);
    }
    if (body.case === "voteReply" && body.value.isGranted && !body.value.isPre) {
      const { term } = body.value;
      const isKept = disk.term === term && disk.vote.startsWith(`${to}#`);
      if (!isKept && disk.term <= term) this.#unsynced(machine, `a vote for ${to} in ${term}`);
      this.#voted(machine, term, to);
    }
    if (body.case !== "appendReply") return;
    const { term, isAccepted: isTaken, match } = body.value;
    if (disk.term < term) this.#unsynced(machine, `an answer in term ${term}, with ${disk.term} synced`);
    if (isTaken && disk.lastIndex < match)
      this.#unsynced(machine, `entries up to ${match}, with ${disk.lastIndex} synced`);
  }

  /** A frame arrived. */
  delivered({ member }: ModelMachine, frame: Frame): void {
    if (member !== undefined) this.#contacts.get(member)?.take(frame);
  }

  /** Throws the first thing that was found since the last check, or is wrong now. */
  check(): void {
    for (const machine of this.#machines) {
      const { member } = machine;
      if (member?.isUp !== true) continue;
      this.keep(() => this.#checkLog(member));
      this.keep(() => this.#checkMembers(member));
      this.keep(() => this.#checkSynced(machine, member));
      if (member.isActingLeader) this.keep(() => this.#checkLeader(member));
      if (!member.isFrozen) this.keep(() => this.#contacts.get(member)!.check());
    }
    this.keep(() => this.#checkDisks());
    if (this.#found !== undefined) throw this.#found;
  }

  /** What the checks rest on beside the machines' own state. */
  text(): string {
    return `${this.committed.text()};${[...this.#votes].sort().join()};${[...this.#leaders.keys()].join()}`;
  }

  /** The members that matter now: the newest committed, and a leader's own that may not be committed yet. */
  relevantMembers(): Members[] {
    const committed = this.committed.membersAt(this.committed.last);
    const led = this.#led().map((one) => one.raft.members);
    return [committed, ...led].filter((members) => members !== undefined);
  }

  /** Whether the members are committed and nobody has this disk for a voter or a learner. */
  isOut(id: string): boolean {
    const members = [...this.relevantMembers(), ...this.laterMembers()];
    const named = members.flatMap((one) => [...MemberSets.of(one).flat(), ...one.learners]);
    return this.committed.last > 0 && !named.some((one) => one.id === id);
  }

  /** Members named after the last commit, in any process's log or on any disk: they may come to be in force. */
  laterMembers(): Members[] {
    const logs = this.#machines.flatMap((machine) => [this.durable(machine), machine.member?.log]);
    return logs
      .filter((log) => log !== undefined)
      .filter((log) => log.lastIndex > this.committed.last)
      .map((log) => CommittedLog.newestMembers(log))
      .filter((members) => members !== undefined);
  }

  #unsynced(machine: ModelMachine, what: string): never {
    throw new Violation("answers only what is on disk", `${machine.name} answers for ${what}`);
  }

  #voted(machine: ModelMachine, term: number, candidate: string): void {
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
      const votes = voters.filter((one) => this.#votes.get(`${one.id} in ${term}`) === member.name);
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
      this.committed.seen(name, log.at(i)!, log.termAt(i - 1)!);
    for (let i = Math.max(1, log.baseIndex); i <= raft.commit; i += 1)
      if (log.termAt(i) !== this.committed.at(i)?.term)
        throw new Violation("commits stay", `${name} has no entry ${i} as it was committed any more`);
  }

  #checkMembers({ name, log, raft }: ModelMember): void {
    const expected = CommittedLog.newestMembers(log) ?? this.committed.membersAt(log.baseIndex);
    const [inForce, written] = [MemberSets.text(raft.members), MemberSets.text(expected)];
    if (inForce !== written)
      throw new Violation("members are the log's newest", `${name} goes by ${inForce}, its log says ${written}`);
  }

  #checkSynced(machine: ModelMachine, { name, log }: ModelMember): void {
    const disk = this.durable(machine);
    if (log.syncedIndex > log.baseIndex && disk.termAt(log.syncedIndex) !== log.termAt(log.syncedIndex))
      throw new Violation("answers only what is on disk", `${name} takes entry ${log.syncedIndex} for synced`);
  }

  /**
   * What is committed is on so many disks that nobody without it can be elected, by whatever members may be in force,
   * and that the loss of a minority of disks leaves it somewhere. A disk that was lost votes no more.
   */
  #checkDisks(): void {
    const { last } = this.committed;
    const term = this.committed.at(last)?.term;
    if (term === undefined) return;
    const lacking = this.#lacking(last, term);
    for (const members of this.relevantMembers())
      if (MemberSets.of(members).every((voters) => Observer.#isMajority(voters, lacking)))
        throw new Violation("commits on enough disks", Observer.#missing(last, lacking, members));
    if (last > this.#checkedIndex) this.#countMembers();
    this.#checkedIndex = last;
  }

  /** A leader takes an entry for committed: by every set of voters in force there, and in its own term. */
  #checkCommit({ name, log, raft }: ModelMember, index: number): void {
    const lacking = this.#lacking(index, log.termAt(index)!);
    if (MemberSets.of(raft.members).some((voters) => Observer.#isMajority(voters, lacking)))
      throw new Violation("commits on enough disks", Observer.#missing(index, lacking, raft.members));
    const term = log.termAt(raft.commit);
    if (term !== raft.term)
      throw new Violation(
        "commits of the leader's own term",
        `${name} leads term ${raft.term} and commits up to entry ${raft.commit}, which is of term ${term}`,
      );
  }

  /** The disks, by their identities, that have not got an entry. */
  #lacking(index: number, term: number): Set<string> {
    const machines = this.#machines.filter((machine) => {
      const disk = this.durable(machine);
      return disk.baseIndex < index && disk.termAt(index) !== term;
    });
    return new Set(machines.map((machine) => machine.diskId));
  }

  static #isMajority(voters: readonly StoreMember[], ids: ReadonlySet<string>): boolean {
    return voters.filter((one) => ids.has(one.id)).length * 2 > voters.length;
  }

  static #missing(index: number, lacking: ReadonlySet<string>, members: Members): string {
    return `entry ${index} is committed, and not on ${[...lacking].join(", ")} (${MemberSets.text(members)})`;
  }

  #countMembers(): void {
    const members = this.committed.membersAt(this.committed.last)!;
    const before = this.#members;
    this.#members = members;
    if (before === undefined || before === members) return;
    const idsOf = (one: Members): string =>
      MemberSets.of(one)[0]!
        .map(({ id }) => id)
        .join();
    if (MemberSets.of(members).length > 1) this.#coverage.count("event: joint members committed");
    else if (idsOf(members) !== idsOf(before)) this.#coverage.count("event: other voters committed");
  }

  /** Those that act as leaders in the newest term that anybody leads. */
  #led(): ModelMember[] {
    const leaders = this.#machines.flatMap(({ member }) => (member?.isActingLeader === true ? [member] : []));
    const newest = Math.max(0, ...leaders.map((one) => one.raft.term));
    return leaders.filter((one) => one.raft.term === newest);
  }
}
