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
 * The fleet's membership, after SWIM. A node sends heartbeats to a few watchers that rendezvous hashing chooses for it,
 * and between heartbeats asks one of a few partners for an answer. Unresponsive partners are asked too: nothing else
 * detects a member that failed together with its watchers. Partners are chosen by rendezvous hashing as well, so that
 * a node holds only a few connections, however many members there are.
 * A node that misses contact probes the member directly and through helpers, and suspects it only if a helper could
 * not reach it either. Suspicions, refutations and all other changes are carried by these frames; whole tables are
 * compared rarely, by digests. A suspicion speeds up routing and moves, but revokes no node's claim.
 */
export class Membership extends EventEmitter<{ changed: []; suspected: [name: string] }> {
  /** Each tick sends either heartbeats to the watchers or a request to a partner, in turn. */
  static readonly heartbeatIntervalMs = 300;
  /** Silence after which a member is probed directly and through helpers. */
  static readonly probeAfterMs = 900;
  /** Silence after which a member is suspected. */
  static readonly suspectAfterMs = 1400;
  /** How long the record of a member that is not up is kept after it last changed. */
  static readonly removeAfterMs = 60_000;
  /** Members that a node sends its heartbeats to. */
  static readonly watcherCount = 3;
  /** Members that a node asks for an answer in turn, and sends changes to at once. */
  static readonly partnerCount = 8;
  /** Members that are asked to ping a silent member; also the number of partners that are sent a change. */
  static readonly helperCount = 3;
  static readonly pingTimeoutMs = 350;
  /** Longer than a ping, because a helper has to ping the member before it answers. */
  static readonly helperTimeoutMs = 900;
  /** Changes within this time are sent together. */
  static readonly updateDelayMs = 30;
  static readonly compareIntervalMs = 10_000;
  /** How soon tables are compared again after a comparison that brought changes. */
  static readonly compareAfterNewsMs = 1000;

  readonly #rpc: RpcEndpoint;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #seeds: readonly string[];
  readonly #table = new MemberTable();
  readonly #updates = new MembershipUpdates();
  readonly #detector: FailureDetector;
  readonly #peers: GossipPeers;
  #tickCount = 0;
  #publishedSelfText = "";
  #lastContactAt: number;
  #lastTickAt: number;
  #nextCompareAt: number;
  #isUpdateScheduled = false;
  /** Whether the whole table of another node was ever received. */
  #hasReceivedTable = false;
  readonly self: Member;
  /** Addresses of the members known before the restart; asked besides the seeds while no member is known. */
  rememberedAddresses: readonly string[] = [];

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
      watcherCount: Membership.watcherCount,
      partnerCount: Membership.partnerCount,
      isUnresponsive: (name) => rpc.isUnresponsive(name),
    });
    this.#lastContactAt = this.#lastTickAt = clock.now();
    this.#nextCompareAt = clock.now() + Membership.compareIntervalMs * random.draw();
    this.#table.put(this.self, clock.now());
    rpc.addressOf = (name) => this.find(name)?.address;
    rpc.relaysFor = () => this.alive().map((member) => member.name);
    rpc.serve("gossip", (gossip, frame) => this.#handleGossip(gossip, frame.from, frame.fromAddress));
    rpc.on("heard", (name) => this.#onContact(name));
    rpc.on("unresponsive", (name) => this.#detector.expectContact(name));
    this.#detector = this.#makeDetector();
  }

  /** Starts gossiping. To be called once. */
  start(): void {
    this.#tick();
    this.#clock.every(Membership.heartbeatIntervalMs, () => this.#tick());
  }

  find(name: string): Member | undefined {
    return this.#table.find(name)?.member;
  }

  /**
   * Whether a member counts as alive: it is up, or was heard directly within `suspectAfterMs`. A node that has heard
   * from no member within that time counts none as alive.
   */
  isAlive(name: string): boolean {
    if (name === this.self.name) return true;
    const known = this.#table.find(name);
    if (known === undefined || known.member.state === "left") return false;
    const isRecent = (at: number): boolean => this.#clock.now() - at < Membership.suspectAfterMs;
    return isRecent(known.member.isSuspected ? known.lastContactAt : this.#lastContactAt);
  }

  /** Every known member, including suspected and left ones, by name; the same array until a record changes. */
  all(): readonly Member[] {
    return this.#table.all();
  }

  /** The members that are alive (`isAlive`), of one role (`nodeRole`) if one is given. */
  alive(role?: string): Member[] {
    return this.all().filter((member) => (role === undefined || member.role === role) && this.isAlive(member.name));
  }

  /**
   * Silence of a member in milliseconds: since contact has been expected, 0 if none is; for a member that is not alive
   * since its last contact, and infinite for an unknown one.
   */
  sinceContactMs(name: string): number {
    const known = this.#table.find(name);
    if (known === undefined) return Infinity;
    if (!this.isAlive(name)) return this.#clock.now() - known.lastContactAt;
    const since = this.#detector.contactDueSince(name);
    return since === undefined ? 0 : this.#clock.now() - since;
  }

  /** The nodes that a member sends its heartbeats to, according to this node's table. */
  watchersOf(name: string): string[] {
    const others = this.all().filter((member) => member.name !== name && MemberTable.isUp(member));
    return Rendezvous.choose(name, others, Membership.watcherCount);
  }

  /** Announces that this node leaves, to its watchers and some other members, which pass it on. */
  leave(): void {
    this.self.state = "left";
    this.#publishSelf();
    const recipients = new Set(this.#peers.watchers());
    for (const recipient of this.#peers.pickRandom(MembershipUpdates.maxPerFrame)) recipients.add(recipient);
    for (const member of recipients) this.#sendGossip(member.address, member.name);
  }

  /** Sends changes of this node's own record without waiting for the next tick. */
  gossipNow(): void {
    this.#publishSelfIfChanged();
    this.#scheduleUpdates();
  }

  #tick(): void {
    const now = this.#clock.now();
    // After a pause of its own a node cannot tell which members were silent.
    if (now - this.#lastTickAt > 2 * Membership.heartbeatIntervalMs) this.#detector.restartSilences();
    this.#lastTickAt = now;
    this.#publishSelfIfChanged();
    this.#detector.evaluate();
    this.#removeExpired();
    this.#tickCount += 1;
    if (this.#tickCount % 2 === 0)
      for (const member of this.#peers.watchers()) this.#sendGossip(member.address, member.name);
    else this.#askPartner();
    this.#contactSeeds();
    if (now >= this.#nextCompareAt) this.#compareTables();
  }

  #askPartner(): void {
    const partners = this.#peers.partners();
    const partner = partners[Math.floor(this.#random.draw() * partners.length)];
    if (partner === undefined) return;
    this.#detector.expectContact(partner.name);
    this.#sendGossip(partner.address, partner.name, { isAsking: true });
  }

  /** Asks the seeds for the whole table until one arrived; later only seeds whose address no member has. */
  #contactSeeds(): void {
    if (this.#peers.upPeers().length === 0) {
      for (const address of this.#bootstrapAddresses())
        this.#sendGossip(address, "", { isAsking: true, wantsAll: true, members: [this.self] });
      return;
    }
    const seed = this.#seeds[Math.floor(this.#random.draw() * this.#seeds.length)];
    if (seed === undefined || seed === this.self.address) return;
    const isSeedUnknown = !this.#peers.upPeers().some((member) => member.address === seed);
    const isJoining = !this.#hasReceivedTable || this.#peers.upPeers().length < 3;
    if (isJoining) this.#sendGossip(seed, "", { isAsking: true, wantsAll: true, members: [this.self] });
    else if (isSeedUnknown && this.#random.draw() < 0.2)
      this.#sendGossip(seed, "", { isAsking: true, digests: this.#table.digests, members: [this.self] });
  }

  /** For a node that knows no member: all seeds and a few remembered addresses, since any of them may be gone. */
  #bootstrapAddresses(): string[] {
    const start = Math.floor(this.#random.draw() * this.rememberedAddresses.length);
    const picked = [...this.rememberedAddresses, ...this.rememberedAddresses].slice(
      start,
      start + Math.min(3, this.rememberedAddresses.length),
    );
    return [...new Set([...this.#seeds, ...picked])].filter((address) => address !== this.self.address);
  }

  #compareTables(): void {
    this.#nextCompareAt = this.#clock.now() + Membership.compareIntervalMs;
    const [peer] = this.#peers.pickRandom(1);
    if (peer !== undefined) this.#sendGossip(peer.address, peer.name, { isAsking: true, digests: this.#table.digests });
  }

  #sendGossip(address: string, name: string, fields: MessageInitShape<typeof GossipSchema> = {}): void {
    const updates = this.#updates.nextBatch((memberName) => this.find(memberName));
    const members = new Set([...((fields.members ?? []) as Member[]), ...updates]);
    const { incarnation, version } = this.self;
    const isWatched = name !== "" && this.#peers.watchers().some((member) => member.name === name);
    const value = { ...fields, members: [...members], incarnation, version, isWatched };
    this.#rpc.sendInBackground(address, { case: "gossip", value }, name);
  }

  #handleGossip(gossip: Gossip, from: string, address: string): undefined {
    const hasNews = gossip.members.map((member) => this.#applyRecord(member)).includes(true);
    if (from === this.self.name) return undefined;
    const { isAsking, wantsAll, wantsSender, digests } = gossip;
    if (gossip.isAll) this.#hasReceivedTable = true;
    if (hasNews && digests.length > 0) this.#nextCompareAt = this.#clock.now() + Membership.compareAfterNewsMs;
    this.#detector.setWatched(from, gossip.isWatched);
    if (address === "") return undefined;

    const replyMembers = new Set<Member>();
    const knownSender = this.find(from);
    const claimed = { incarnation: gossip.incarnation, version: gossip.version, state: "up", isSuspected: false };
    const isSenderUnknown =
      (knownSender === undefined ||
        MemberTable.supersedes({ ...knownSender, ...claimed }, { ...knownSender, state: "left" })) &&
      !gossip.members.some((member) => member.name === from);
    // A sender whose own record is superseded, by a suspicion or a record of an earlier incarnation, must learn of it
    // to refute it.
    if (knownSender !== undefined && MemberTable.supersedes(knownSender, { ...knownSender, ...claimed }))
      replyMembers.add(knownSender);
    for (const member of gossip.members) {
      const newer = this.find(member.name);
      if (
        newer !== undefined &&
        replyMembers.size < MembershipUpdates.maxPerFrame &&
        MemberTable.supersedes(newer, member)
      )
        replyMembers.add(newer);
    }
    if (wantsSender) replyMembers.add(this.self);
    if (wantsAll) for (const member of this.all()) replyMembers.add(member);
    const differing = digests.length > 0 ? this.#table.recordsDifferingFrom(digests) : [];
    for (const member of differing) replyMembers.add(member);
    const hasTableDifference = isAsking && differing.length > 0;
    if (isAsking || isSenderUnknown || replyMembers.size > 0)
      this.#sendGossip(address, from, {
        members: [...replyMembers],
        wantsSender: isSenderUnknown,
        isAll: wantsAll,
        digests: hasTableDifference ? this.#table.digests : new Uint8Array(),
      });
    return undefined;
  }

  /** Applies a record that supersedes the known one; returns whether it was applied. */
  #applyRecord(member: Member): boolean {
    if (!MemberTable.isValid(member)) return false;
    if (member.name === this.self.name) return this.#refute(member);
    const previous = this.#table.find(member.name)?.member;
    if (previous === undefined ? !MemberTable.isUp(member) : !MemberTable.supersedes(member, previous)) return false;
    this.#put(member);
    if (previous !== undefined && previous.incarnation !== member.incarnation) this.#rpc.failCallsTo(member.name);
    return true;
  }

  /** Refutes a record of this node that is wrong or is of an earlier incarnation. */
  #refute(member: Member): boolean {
    if (!MemberTable.supersedes(member, this.self)) return false;
    if (member.incarnation > this.self.incarnation) this.self.incarnation = member.incarnation + 1;
    else this.self.version = member.version;
    this.#publishSelf();
    this.#scheduleUpdates();
    return false;
  }

  #put(member: Member): void {
    this.#table.put(member, this.#clock.now());
    this.#updates.add(member.name, this.all().length);
    this.#scheduleUpdates();
    this.emit("changed");
  }

  /** Detects changed fields of the own record, so that code that sets one need not announce it. */
  #publishSelfIfChanged(): void {
    if (this.#publishedSelfText !== JSON.stringify(this.self)) this.#publishSelf();
  }

  #publishSelf(): void {
    this.self.version += 1;
    this.#publishedSelfText = JSON.stringify(this.self);
    this.#table.put(this.self, this.#clock.now());
    this.#updates.add(this.self.name, this.all().length);
  }

  /** Sends changes to a few partners after `updateDelayMs`, so that changes in close succession go together. */
  #scheduleUpdates(): void {
    if (this.#isUpdateScheduled) return;
    this.#isUpdateScheduled = true;
    this.#clock.once(Membership.updateDelayMs, () => {
      this.#isUpdateScheduled = false;
      if (this.#updates.isEmpty) return;
      for (const member of this.#peers.pickRandom(Membership.helperCount, "", this.#peers.partners()))
        this.#sendGossip(member.address, member.name);
    });
  }

  #onContact(name: string): void {
    const now = this.#clock.now();
    this.#lastContactAt = now;
    const known = this.#table.find(name);
    if (known !== undefined) known.lastContactAt = now;
    this.#detector.onContact(name);
    // A suspected member that still sends is told of the suspicion, so that it refutes it.
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
    const { probeAfterMs, suspectAfterMs, pingTimeoutMs, helperTimeoutMs, helperCount } = Membership;
    return new FailureDetector({
      self: this.self.name,
      rpc: this.#rpc,
      clock: this.#clock,
      settings: { probeAfterMs, suspectAfterMs, pingTimeoutMs, helperTimeoutMs, helperCount },
      find: (name) => this.find(name),
      pickRandom: (count, except) => this.#peers.pickRandom(count, except),
      requestContact: ({ address, name }) => this.#sendGossip(address, name, { isAsking: true }),
      suspect: (member) => this.#suspect(member),
    });
  }

  #suspect(member: Member): void {
    this.#put(create(MemberSchema, { ...member, isSuspected: true }));
    this.emit("suspected", member.name);
  }

  #removeExpired(): void {
    for (const [name, { member, changedAt }] of this.#table.entries())
      if (
        !MemberTable.isUp(member) &&
        name !== this.self.name &&
        this.#clock.now() - changedAt > Membership.removeAfterMs
      ) {
        this.#table.remove(name);
        this.#detector.forget(name);
        this.emit("changed");
      }
  }
}
