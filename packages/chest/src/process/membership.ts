import { EventEmitter } from "node:events";
import { create } from "@bufbuild/protobuf";
import { MemberSchema, type Gossip, type Member } from "../gen/cranetrack_pb.js";
import type { Chance } from "./chance.js";
import type { Clock } from "./clock.js";
import type { Exchange } from "./exchange.js";
import { Rendezvous } from "./rendezvous.js";

interface Known {
  member: Member;
  risenAt: number;
  suspectedAt: number;
}

/**
 * Who is there. Seeds first, then gossip; rendezvous hashing names the three nodes that watch
 * each node. A suspicion speeds up routing and moves and takes no claim from anybody.
 */
export class Membership extends EventEmitter<{ changed: []; suspected: [name: string] }> {
  static readonly beatMs = 300;
  static readonly suspectMs = 1400;
  static readonly forgetMs = 60_000;
  static readonly watchers = 3;

  readonly #exchange: Exchange;
  readonly #clock: Clock;
  readonly #chance: Chance;
  readonly #seeds: readonly string[];
  /** Invariant: for each name the record with the highest (incarnation, count) ever heard. */
  readonly #known = new Map<string, Known>();
  readonly self: Member;
  /** Where members were when this node last knew some; asked too while it knows nobody. */
  remembered: readonly string[] = [];

  constructor(
    self: Partial<Member> & { name: string },
    seeds: readonly string[],
    exchange: Exchange,
    clock: Clock,
    chance: Chance,
  ) {
    super();
    this.setMaxListeners(0);
    this.self = create(MemberSchema, { state: "up", ...(self as object) });
    this.#seeds = seeds;
    this.#exchange = exchange;
    this.#clock = clock;
    this.#chance = chance;
    this.#known.set(self.name, { member: this.self, risenAt: clock.now(), suspectedAt: 0 });
    exchange.addressOf = (name) => this.#known.get(name)?.member.address;
    exchange.relaysFor = () => this.alive().map((member) => member.name);
    exchange.serve("gossip", (gossip, frame) => this.#hear(gossip, frame.fromAddress));
    exchange.serve("ping", () => ({ case: "done", value: {} }));
    exchange.on("heard", (name) => this.#risen(name));
  }

  start(): void {
    this.#beat();
    this.#clock.every(Membership.beatMs, () => this.#beat());
  }

  find(name: string): Member | undefined {
    return this.#known.get(name)?.member;
  }

  isAlive(name: string): boolean {
    if (name === this.self.name) return true;
    const known = this.#known.get(name);
    return (
      known !== undefined && known.member.state === "up" && this.#clock.now() - known.risenAt < Membership.suspectMs
    );
  }

  all(): Member[] {
    return [...this.#known.values()].map((known) => known.member).sort((a, b) => (a.name < b.name ? -1 : 1));
  }

  alive(role?: string): Member[] {
    return this.all().filter((member) => (role === undefined || member.role === role) && this.isAlive(member.name));
  }

  /** Milliseconds since a sign of life. */
  ageOf(name: string): number {
    const known = this.#known.get(name);
    return known === undefined ? Infinity : this.#clock.now() - known.risenAt;
  }

  watchersOf(name: string): string[] {
    return Rendezvous.rank(
      name,
      this.all()
        .map((member) => member.name)
        .filter((other) => other !== name),
    ).slice(0, Membership.watchers);
  }

  /** Says to everybody that this node is going. */
  leave(): void {
    this.self.state = "left";
    this.self.count += 1;
    for (const member of this.alive()) if (member.name !== this.self.name) this.#tell(member.address, false);
  }

  /** Tells what changed about this node without waiting for the next beat. */
  tellNow(): void {
    this.#beat();
  }

  #beat(): void {
    this.self.count += 1;
    const own = this.#known.get(this.self.name)!;
    own.risenAt = this.#clock.now();
    this.#forget();
    const others = this.all().filter((member) => member.name !== this.self.name && member.state === "up");
    const chosen = new Set(this.watchersOf(this.self.name).map((name) => this.find(name)!.address));
    const drawn = others[Math.floor(this.#chance.draw() * others.length)];
    if (drawn !== undefined) chosen.add(drawn.address);
    if (others.length === 0) for (const address of this.#firstAsked()) chosen.add(address);
    const seed = this.#seeds[Math.floor(this.#chance.draw() * this.#seeds.length)];
    if (seed !== undefined && seed !== this.self.address && (others.length < 3 || this.#chance.draw() < 0.2))
      chosen.add(seed);
    for (const address of chosen) this.#tell(address, true);
  }

  /** While nobody is known: all seeds, and a few of the addresses remembered, for any of them may be gone. */
  #firstAsked(): string[] {
    const first = Math.floor(this.#chance.draw() * this.remembered.length);
    const few = [...this.remembered, ...this.remembered].slice(first, first + Math.min(3, this.remembered.length));
    return [...this.#seeds, ...few].filter((address) => address !== this.self.address);
  }

  #tell(address: string, isAsking: boolean): void {
    this.#exchange.tellAddress(address, { case: "gossip", value: { members: this.all(), isAsking } });
  }

  #hear(gossip: Gossip, fromAddress: string): undefined {
    let isChanged = false;
    for (const member of gossip.members) isChanged = this.#learn(member) || isChanged;
    if (gossip.isAsking && fromAddress !== "") this.#tell(fromAddress, false);
    if (isChanged) this.emit("changed");
    return undefined;
  }

  #learn(member: Member): boolean {
    if (member.name === "" || member.address === "") return false;
    if (member.name === this.self.name) {
      if (member.incarnation > this.self.incarnation) this.self.incarnation = member.incarnation + 1;
      return false;
    }
    const known = this.#known.get(member.name);
    const isNewer =
      known === undefined ||
      member.incarnation > known.member.incarnation ||
      (member.incarnation === known.member.incarnation && member.count > known.member.count);
    if (!isNewer) return false;
    const isFresh =
      known === undefined ||
      known.member.state !== member.state ||
      known.member.address !== member.address ||
      known.member.incarnation !== member.incarnation ||
      known.member.isFounded !== member.isFounded ||
      known.member.isFounder !== member.isFounder ||
      known.member.isInStore !== member.isInStore ||
      known.member.isStorage !== member.isStorage ||
      known.member.disk !== member.disk ||
      known.member.shelf !== member.shelf;
    this.#known.set(member.name, { member, risenAt: this.#clock.now(), suspectedAt: 0 });
    if (known !== undefined && known.member.incarnation !== member.incarnation) this.#exchange.giveUp(member.name);
    return isFresh;
  }

  #risen(name: string): void {
    const known = this.#known.get(name);
    if (known !== undefined && known.member.state === "up") known.risenAt = this.#clock.now();
  }

  #forget(): void {
    for (const [name, known] of this.#known) {
      if (name === this.self.name) continue;
      const age = this.#clock.now() - known.risenAt;
      if (age > Membership.forgetMs) this.#known.delete(name);
      else if (age > Membership.suspectMs && known.suspectedAt === 0) {
        known.suspectedAt = this.#clock.now();
        this.emit("suspected", name);
        this.emit("changed");
      }
    }
  }
}
