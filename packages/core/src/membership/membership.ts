import { EventEmitter } from "node:events";
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { MemberSchema, type Gossip, type GossipSchema, type Member } from "../gen/cranetrack_pb.js";
import type { RandomSource } from "../runtime/random.js";
import type { Clock } from "../runtime/clock.js";
import type { RpcEndpoint } from "../rpc/rpcEndpoint.js";
import { FailureDetector } from "./failureDetector.js";
import { GossipPeers } from "./gossipPeers.js";
import { MemberTable } from "./memberTable.js";
import { Rendezvous } from "./rendezvous.js";
import { MembershipUpdates } from "./membershipUpdates.js";

/**
 * Who is there, after SWIM: a node sends heartbeats to the few watchers that rendezvous hashing names for it, and in
 * between asks one of a few partners, an unresponsive one too, for a sign of life: who lost its watchers with it is
 * found by
 * nothing else. Partners are named by rendezvous hashing as well, so that what a node sends takes a few held
 * connections, however many members there are.
 * Whoever misses one asks directly and through others, and suspects only where another could not reach the silent one
 * either. Suspicions, refutations and all other changes travel on these frames; tables are compared rarely,
 * by digests. A suspicion speeds up routing and moves and takes no claim from anybody.
 */
export class Membership extends EventEmitter<{ changed: []; suspected: [name: string] }> {
  /** Heartbeats and questions to partners go out in turn, one of them in each such time. */
  static readonly heartbeatIntervalMs = 300;
  /** Silence before a member is asked directly and through others, and before it is suspected. */
  static readonly probeMs = 900;
  static readonly suspectMs = 1400;
  static readonly forgetMs = 60_000;
  static readonly watchers = 3;
  /** Members that a node asks for a sign of life, and sends a change at once. */
  static readonly partners = 8;
  /** Others that are asked whether they reach a silent member; and how many partners are sent a change. */
  static readonly helpers = 3;
  static readonly pingTimeoutMs = 350;
  /** A helper's word needs its own ping first. */
  static readonly helpTimeoutMs = 900;
  static readonly changeDelayMs = 30;
  static readonly compareMs = 10_000;
  /** How soon tables are compared again after a comparison that brought news. */
  static readonly compareAgainMs = 1000;

  readonly #rpc: RpcEndpoint;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #seeds: readonly string[];
  readonly #table = new MemberTable();
  readonly #updates = new MembershipUpdates();
  readonly #detector: FailureDetector;
  readonly #peers: GossipPeers;
  #ticks = 0;
  #ownText = "";
  #lastContactAt: number;
  #heartbeatAt: number;
  #compareAt: number;
  #isChangeScheduled = false;
  /** Whether another's whole table was ever received. */
  #isIntroduced = false;
  readonly self: Member;
  /** Where members were when this node last knew some; asked too while it knows nobody. */
  remembered: readonly string[] = [];

  constructor(
    self: Partial<Member> & { name: string },
    seeds: readonly string[],
    rpc: RpcEndpoint,
    clock: Clock,
    random: RandomSource,
  ) {
    super();
    this.setMaxListeners(0);
    this.self = create(MemberSchema, { state: "up", ...(self as object) });
    this.#seeds = seeds;
    this.#rpc = rpc;
    this.#clock = clock;
    this.#random = random;
    this.#peers = new GossipPeers({
      self: self.name,
      table: this.#table,
      random,
      watchers: Membership.watchers,
      partners: Membership.partners,
      isUnresponsive: (name) => rpc.isUnresponsive(name),
    });
    this.#lastContactAt = this.#heartbeatAt = clock.now();
    this.#compareAt = clock.now() + Membership.compareMs * random.draw();
    this.#table.put(this.self, clock.now());
    rpc.addressOf = (name) => this.find(name)?.address;
    rpc.relaysFor = () => this.alive().map((member) => member.name);
    rpc.serve("gossip", (gossip, frame) => this.#handleGossip(gossip, frame.from, frame.fromAddress));
    rpc.on("heard", (name) => this.#onContact(name));
    rpc.on("unresponsive", (name) => this.#detector.expect(name));
    this.#detector = this.#makeDetector();
  }

  /** Gossips from now on; only once. */
  start(): void {
    this.#tick();
    this.#clock.every(Membership.heartbeatIntervalMs, () => this.#tick());
  }

  find(name: string): Member | undefined {
    return this.#table.find(name)?.member;
  }

  /** Up or heard directly just now; and a node that hears nobody takes nobody for alive. */
  isAlive(name: string): boolean {
    if (name === this.self.name) return true;
    const known = this.#table.find(name);
    if (known === undefined || known.member.state === "left") return false;
    const isLately = (at: number): boolean => this.#clock.now() - at < Membership.suspectMs;
    return isLately(known.member.isSuspected ? known.lastContactAt : this.#lastContactAt);
  }

  /** Every member known, also those suspected or gone, by name; the same array until a record changes. */
  all(): readonly Member[] {
    return this.#table.all();
  }

  /** The members that `isAlive` holds for, of one role (`nodeRole`) if one is given. */
  alive(role?: string): Member[] {
    return this.all().filter((member) => (role === undefined || member.role === role) && this.isAlive(member.name));
  }

  /** Milliseconds that a sign of life has been due; none from who is taken for alive and not waited for. */
  ageOf(name: string): number {
    const known = this.#table.find(name);
    if (known === undefined) return Infinity;
    if (!this.isAlive(name)) return this.#clock.now() - known.lastContactAt;
    const since = this.#detector.awaitedSince(name);
    return since === undefined ? 0 : this.#clock.now() - since;
  }

  /** The nodes that a member sends its heartbeats to, as this node's table has it. */
  watchersOf(name: string): string[] {
    const others = this.all().filter((member) => member.name !== name && MemberTable.isUp(member));
    return Rendezvous.choose(name, others, Membership.watchers);
  }

  /** Says that this node is going: to its watchers and some others, who tell the rest. */
  leave(): void {
    this.self.state = "left";
    this.#changeSelf();
    const recipients = new Set(this.#peers.watchers());
    for (const member of this.#peers.draw(MembershipUpdates.maxPerFrame)) recipients.add(member);
    for (const member of recipients) this.#sendGossip(member.address, member.name);
  }

  /** Sends what changed about this node without waiting for the next tick. */
  gossipNow(): void {
    this.#publishOwnChanges();
    this.#scheduleChanges();
  }

  #tick(): void {
    const now = this.#clock.now();
    // Who slept itself knows nothing of the others' silence.
    if (now - this.#heartbeatAt > 2 * Membership.heartbeatIntervalMs) this.#detector.restart();
    this.#heartbeatAt = now;
    this.#publishOwnChanges();
    this.#detector.evaluate();
    this.#forget();
    this.#ticks += 1;
    if (this.#ticks % 2 === 0)
      for (const member of this.#peers.watchers()) this.#sendGossip(member.address, member.name);
    else this.#askPartner();
    this.#introduce();
    if (now >= this.#compareAt) this.#compare();
  }

  #askPartner(): void {
    const partners = this.#peers.partners();
    const drawn = partners[Math.floor(this.#random.draw() * partners.length)];
    if (drawn === undefined) return;
    this.#detector.expect(drawn.name);
    this.#sendGossip(drawn.address, drawn.name, { isAsking: true });
  }

  /** Asks seeds for everybody, until some table came; later only those seeds that no member is at. */
  #introduce(): void {
    if (this.#peers.up().length === 0) {
      for (const address of this.#firstAsked())
        this.#sendGossip(address, "", { isAsking: true, wantsAll: true, members: [this.self] });
      return;
    }
    const seed = this.#seeds[Math.floor(this.#random.draw() * this.#seeds.length)];
    if (seed === undefined || seed === this.self.address) return;
    const isStranger = !this.#peers.up().some((member) => member.address === seed);
    const isNew = !this.#isIntroduced || this.#peers.up().length < 3;
    if (isNew) this.#sendGossip(seed, "", { isAsking: true, wantsAll: true, members: [this.self] });
    else if (isStranger && this.#random.draw() < 0.2)
      this.#sendGossip(seed, "", { isAsking: true, digests: this.#table.digests, members: [this.self] });
  }

  /** While nobody is known: all seeds, and a few of the addresses remembered, for any of them may be gone. */
  #firstAsked(): string[] {
    const first = Math.floor(this.#random.draw() * this.remembered.length);
    const few = [...this.remembered, ...this.remembered].slice(first, first + Math.min(3, this.remembered.length));
    return [...new Set([...this.#seeds, ...few])].filter((address) => address !== this.self.address);
  }

  #compare(): void {
    this.#compareAt = this.#clock.now() + Membership.compareMs;
    const [drawn] = this.#peers.draw(1);
    if (drawn !== undefined)
      this.#sendGossip(drawn.address, drawn.name, { isAsking: true, digests: this.#table.digests });
  }

  #sendGossip(address: string, name: string, more: MessageInitShape<typeof GossipSchema> = {}): void {
    const updates = this.#updates.nextBatch((one) => this.find(one));
    const members = new Set([...((more.members ?? []) as Member[]), ...updates]);
    const { incarnation, version } = this.self;
    const isWatched = name !== "" && this.#peers.watchers().some((member) => member.name === name);
    const value = { ...more, members: [...members], incarnation, version, isWatched };
    this.#rpc.sendInBackground(address, { case: "gossip", value }, name);
  }

  #handleGossip(gossip: Gossip, from: string, address: string): undefined {
    const isChanged = gossip.members.map((member) => this.#applyRecord(member)).includes(true);
    if (from === this.self.name) return undefined;
    const { isAsking, wantsAll, wantsSender, digests } = gossip;
    if (gossip.isAll) this.#isIntroduced = true;
    if (isChanged && digests.length > 0) this.#compareAt = this.#clock.now() + Membership.compareAgainMs;
    this.#detector.watch(from, gossip.isWatched);
    if (address === "") return undefined;

    const answer = new Set<Member>();
    const known = this.find(from);
    const stand = { incarnation: gossip.incarnation, version: gossip.version, state: "up", isSuspected: false };
    const isUnknown =
      (known === undefined || MemberTable.isAbove({ ...known, ...stand }, { ...known, state: "left" })) &&
      !gossip.members.some((member) => member.name === from);
    // A sender whose own record lost, to a suspicion or an earlier incarnation, has to hear of it, to refute it.
    if (known !== undefined && MemberTable.isAbove(known, { ...known, ...stand })) answer.add(known);
    for (const member of gossip.members) {
      const better = this.find(member.name);
      if (better !== undefined && answer.size < MembershipUpdates.maxPerFrame && MemberTable.isAbove(better, member))
        answer.add(better);
    }
    if (wantsSender) answer.add(this.self);
    if (wantsAll) for (const member of this.all()) answer.add(member);
    const differing = digests.length > 0 ? this.#table.differing(digests) : [];
    for (const member of differing) answer.add(member);
    const isDiffering = isAsking && differing.length > 0;
    if (isAsking || isUnknown || answer.size > 0)
      this.#sendGossip(address, from, {
        members: [...answer],
        wantsSender: isUnknown,
        isAll: wantsAll,
        digests: isDiffering ? this.#table.digests : new Uint8Array(),
      });
    return undefined;
  }

  /** Takes up a record that outranks the one known; true where it does. */
  #applyRecord(member: Member): boolean {
    if (!MemberTable.isSound(member)) return false;
    if (member.name === this.self.name) return this.#refute(member);
    const before = this.#table.find(member.name)?.member;
    if (before === undefined ? !MemberTable.isUp(member) : !MemberTable.isAbove(member, before)) return false;
    this.#put(member);
    if (before !== undefined && before.incarnation !== member.incarnation) this.#rpc.abandonCallsTo(member.name);
    return true;
  }

  /** Refutes what is said of this node and is not so, or is of an earlier incarnation. */
  #refute(member: Member): boolean {
    if (!MemberTable.isAbove(member, this.self)) return false;
    if (member.incarnation > this.self.incarnation) this.self.incarnation = member.incarnation + 1;
    else this.self.version = member.version;
    this.#changeSelf();
    this.#scheduleChanges();
    return false;
  }

  #put(member: Member): void {
    this.#table.put(member, this.#clock.now());
    this.#updates.add(member.name, this.all().length);
    this.#scheduleChanges();
    this.emit("changed");
  }

  /** Whoever set a field of this node's own record need not say so. */
  #publishOwnChanges(): void {
    if (this.#ownText !== JSON.stringify(this.self)) this.#changeSelf();
  }

  #changeSelf(): void {
    this.self.version += 1;
    this.#ownText = JSON.stringify(this.self);
    this.#table.put(this.self, this.#clock.now());
    this.#updates.add(this.self.name, this.all().length);
  }

  /** A change goes on at once to a few others; what comes within a moment goes together. */
  #scheduleChanges(): void {
    if (this.#isChangeScheduled) return;
    this.#isChangeScheduled = true;
    this.#clock.once(Membership.changeDelayMs, () => {
      this.#isChangeScheduled = false;
      if (this.#updates.isEmpty) return;
      for (const member of this.#peers.draw(Membership.helpers, "", this.#peers.partners()))
        this.#sendGossip(member.address, member.name);
    });
  }

  #onContact(name: string): void {
    const now = this.#clock.now();
    this.#lastContactAt = now;
    const known = this.#table.find(name);
    if (known !== undefined) known.lastContactAt = now;
    this.#detector.onContact(name);
    // A member that sends although it is suspected is sent the suspicion, and refutes it.
    if (
      known?.member.isSuspected !== true ||
      known.member.state === "left" ||
      now - known.suspicionSentAt < Membership.heartbeatIntervalMs
    )
      return;
    known.suspicionSentAt = now;
    this.#sendGossip(known.member.address, name, { members: [known.member] });
  }

  #makeDetector(): FailureDetector {
    const { probeMs, suspectMs, pingTimeoutMs, helpTimeoutMs, helpers } = Membership;
    return new FailureDetector({
      self: this.self.name,
      rpc: this.#rpc,
      clock: this.#clock,
      times: { probeMs, suspectMs, pingMs: pingTimeoutMs, helpMs: helpTimeoutMs, helpers },
      find: (name) => this.find(name),
      draw: (count, except) => this.#peers.draw(count, except),
      ask: ({ address, name }) => this.#sendGossip(address, name, { isAsking: true }),
      suspect: (member) => this.#suspect(member),
    });
  }

  #suspect(member: Member): void {
    this.#put(create(MemberSchema, { ...member, isSuspected: true }));
    this.emit("suspected", member.name);
  }

  #forget(): void {
    for (const [name, { member, changedAt }] of this.#table.entries())
      if (!MemberTable.isUp(member) && name !== this.self.name && this.#clock.now() - changedAt > Membership.forgetMs) {
        this.#table.remove(name);
        this.#detector.forget(name);
        this.emit("changed");
      }
  }
}
