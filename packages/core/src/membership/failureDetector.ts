import type { Member, Ping } from "../gen/cranetrack_pb.js";
import type { RpcEndpoint } from "../rpc/rpcEndpoint.js";
import type { BodyInit } from "../rpc/wire.js";
import type { Clock } from "../runtime/clock.js";
import { MemberTable } from "./memberTable.js";

/** How long silence may last, in milliseconds. */
export interface DetectorTimes {
  /** Before a member is asked directly and through others. */
  readonly probeMs: number;
  /** Before it is suspected, if another could not reach it either. */
  readonly suspectMs: number;
  /** A ping, and a helper's answer that needs a ping of its own first. */
  readonly pingMs: number;
  readonly helpMs: number;
  readonly helpers: number;
}

/** What the detector needs of membership. */
export interface DetectorParts {
  readonly self: string;
  readonly rpc: RpcEndpoint;
  readonly clock: Clock;
  readonly times: DetectorTimes;
  find(name: string): Member | undefined;
  /** Some other members that are up and answer, at random. */
  draw(count: number, except: string): Member[];
  /** Asks a member directly for a sign of life. */
  ask(member: Member): void;
  suspect(member: Member): void;
}

/**
 * The failure detector of SWIM (Das, Gupta, Motivala, 2002, section 4.1): who left a sign of life due is asked
 * directly and through others, and is suspected only where another could not reach it either.
 * Invariant: silence counts from when a sign of life was due, and anything heard of the member ends it.
 */
export class FailureDetector {
  readonly #parts: DetectorParts;
  /** Members that send their heartbeats here, so that each of these makes the next one due. */
  readonly #watched = new Set<string>();
  /** Since when a sign of life is due. */
  readonly #awaited = new Map<string, number>();
  readonly #probing = new Set<string>();
  /** When another said that it could not reach the member either. */
  readonly #deniedAt = new Map<string, number>();

  constructor(parts: DetectorParts) {
    this.#parts = parts;
    parts.rpc.serve("ping", (ping) => this.#answer(ping));
  }

  /** A sign of life of this member is due from now on, unless one is already. */
  expect(name: string): void {
    const member = this.#parts.find(name);
    if (member !== undefined && MemberTable.isUp(member) && !this.#awaited.has(name))
      this.#awaited.set(name, this.#parts.clock.now());
  }

  /** The member was heard, here or by a helper. */
  onContact(name: string): void {
    this.#deniedAt.delete(name);
    if (this.#watched.has(name)) this.#awaited.set(name, this.#parts.clock.now());
    else this.#awaited.delete(name);
  }

  /** The member says with each heartbeat whether this node watches it. */
  watch(name: string, isWatched: boolean): void {
    if (isWatched) this.#watched.add(name);
    else if (this.#watched.delete(name)) this.#awaited.delete(name);
    if (isWatched) this.#awaited.set(name, this.#parts.clock.now());
  }

  /** The member left the table. */
  forget(name: string): void {
    this.#watched.delete(name);
  }

  /** Since when a sign of life of the member has been due; undefined where none is. */
  awaitedSince(name: string): number | undefined {
    return this.#awaited.get(name);
  }

  /** Starts all silences anew: a node that slept knows nothing of the others'. */
  restart(): void {
    for (const name of this.#awaited.keys()) this.#awaited.set(name, this.#parts.clock.now());
  }

  /** Probes and suspects whoever has been silent for long enough. */
  evaluate(): void {
    for (const [name, since] of this.#awaited) {
      const member = this.#parts.find(name);
      if (member === undefined || !MemberTable.isUp(member)) this.#awaited.delete(name);
      else this.#evaluate(member, since);
    }
  }

  #evaluate(member: Member, since: number): void {
    const { times, clock } = this.#parts;
    const silentMs = clock.now() - since;
    const isDenied = (this.#deniedAt.get(member.name) ?? -Infinity) > since;
    if (silentMs >= times.suspectMs && isDenied) this.#suspect(member);
    else if (silentMs >= times.probeMs) void this.#probe(member);
  }

  #suspect(member: Member): void {
    this.#awaited.delete(member.name);
    this.#deniedAt.delete(member.name);
    this.#parts.suspect(member);
  }

  async #probe(member: Member): Promise<void> {
    if (this.#probing.has(member.name)) return;
    this.#probing.add(member.name);
    this.#parts.ask(member);
    const helpers = this.#parts.draw(this.#parts.times.helpers, member.name);
    await Promise.all(helpers.map((helper) => this.#askHelper(helper, member.name)));
    this.#probing.delete(member.name);
  }

  async #askHelper(helper: Member, about: string): Promise<void> {
    const { rpc, times, clock } = this.#parts;
    const ping: BodyInit = { case: "ping", value: { about } };
    const answer = await rpc.call(helper.name, ping, times.helpMs);
    if (answer?.case === "done") this.onContact(about);
    else if (answer?.case === "fault") this.#deniedAt.set(about, clock.now());
  }

  /** Answers a ping of this node itself, or the request to ping another. */
  async #answer({ about }: Ping): Promise<BodyInit> {
    const { self, rpc, times } = this.#parts;
    if (about === "" || about === self) return { case: "done", value: {} };
    const answer = await rpc.call(about, { case: "ping", value: {} }, times.pingMs);
    return answer === undefined
      ? { case: "fault", value: { code: "unanswered", message: `${about} does not answer` } }
      : { case: "done", value: {} };
  }
}
