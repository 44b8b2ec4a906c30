import type { Member, Ping } from "../gen/cranetrack_pb.js";
import type { RpcEndpoint } from "../rpc/rpcEndpoint.js";
import type { BodyInit } from "../rpc/wire.js";
import type { Clock } from "../runtime/clock.js";
import { MemberTable } from "./memberTable.js";

/** Timeouts of the failure detector, in milliseconds, and the number of helpers for an indirect probe. */
export interface DetectorSettings {
  /** Silence after which a member is probed directly and through helpers. */
  readonly probeAfterMs: number;
  /** Silence after which a member is suspected, if a helper could not reach it either. */
  readonly suspectAfterMs: number;
  /** How long a helper waits for the answer to its own ping. */
  readonly pingTimeoutMs: number;
  /** How long this node waits for a helper, which has to ping the member first. */
  readonly helperTimeoutMs: number;
  /** Members that are asked to ping a silent member. */
  readonly helperCount: number;
}

/** What the detector needs from `Membership`. */
export interface DetectorDependencies {
  readonly self: string;
  readonly rpc: RpcEndpoint;
  readonly clock: Clock;
  readonly settings: DetectorSettings;
  find(name: string): Member | undefined;
  /** Up to `count` random members, other than `except`, that are up and responsive. */
  pickRandom(count: number, except: string): Member[];
  /** Asks a member directly for an answer. */
  requestContact(member: Member): void;
  /** Marks the member as suspected. */
  suspect(member: Member): void;
}

/**
 * The failure detector of SWIM (Das, Gupta, Motivala, 2002, section 4.1): a member that stays silent is probed
 * directly and through helpers, and is suspected only if a helper could not reach it either.
 * Invariant: silence is counted from when contact was expected, and any frame from the member ends it.
 */
export class FailureDetector {
  readonly #dependencies: DetectorDependencies;
  /** Members that send their heartbeats to this node: after each frame the next one is expected. */
  readonly #watchedMembers = new Set<string>();
  /** For each member, since when contact has been expected. */
  readonly #contactDueSince = new Map<string, number>();
  readonly #probedMembers = new Set<string>();
  /** When a helper last reported that it could not reach the member. */
  readonly #unreachableReportedAt = new Map<string, number>();

  constructor(dependencies: DetectorDependencies) {
    this.#dependencies = dependencies;
    dependencies.rpc.serve("ping", (ping) => this.#handlePing(ping));
  }

  /** Contact from this member is expected from now on, unless it already was. */
  expectContact(name: string): void {
    const member = this.#dependencies.find(name);
    if (member !== undefined && MemberTable.isUp(member) && !this.#contactDueSince.has(name))
      this.#contactDueSince.set(name, this.#dependencies.clock.now());
  }

  /** The member was heard, by this node or by a helper. */
  onContact(name: string): void {
    this.#unreachableReportedAt.delete(name);
    if (this.#watchedMembers.has(name)) this.#contactDueSince.set(name, this.#dependencies.clock.now());
    else this.#contactDueSince.delete(name);
  }

  /** Each gossip frame says whether its sender counts this node among its watchers. */
  setWatched(name: string, isWatched: boolean): void {
    if (isWatched) this.#watchedMembers.add(name);
    else if (this.#watchedMembers.delete(name)) this.#contactDueSince.delete(name);
    if (isWatched) this.#contactDueSince.set(name, this.#dependencies.clock.now());
  }

  /** Drops the state of a member that was removed from the table. */
  forget(name: string): void {
    this.#watchedMembers.delete(name);
  }

  /** Since when contact from the member has been expected; undefined if none is. */
  contactDueSince(name: string): number | undefined {
    return this.#contactDueSince.get(name);
  }

  /** Restarts all silences: after a pause this node cannot tell which members were silent meanwhile. */
  restartSilences(): void {
    for (const name of this.#contactDueSince.keys()) this.#contactDueSince.set(name, this.#dependencies.clock.now());
  }

  /** Probes and suspects the members that have been silent for long enough. */
  evaluate(): void {
    for (const [name, dueSince] of this.#contactDueSince) {
      const member = this.#dependencies.find(name);
      if (member === undefined || !MemberTable.isUp(member)) this.#contactDueSince.delete(name);
      else this.#evaluateMember(member, dueSince);
    }
  }

  #evaluateMember(member: Member, dueSince: number): void {
    const { settings, clock } = this.#dependencies;
    const silentMs = clock.now() - dueSince;
    const isReportedUnreachable = (this.#unreachableReportedAt.get(member.name) ?? -Infinity) > dueSince;
    if (silentMs >= settings.suspectAfterMs && isReportedUnreachable) this.#suspect(member);
    else if (silentMs >= settings.probeAfterMs) void this.#probe(member);
  }

  #suspect(member: Member): void {
    this.#contactDueSince.delete(member.name);
    this.#unreachableReportedAt.delete(member.name);
    this.#dependencies.suspect(member);
  }

  async #probe(member: Member): Promise<void> {
    if (this.#probedMembers.has(member.name)) return;
    this.#probedMembers.add(member.name);
    this.#dependencies.requestContact(member);
    const helpers = this.#dependencies.pickRandom(this.#dependencies.settings.helperCount, member.name);
    await Promise.all(helpers.map((helper) => this.#pingThroughHelper(helper, member.name)));
    this.#probedMembers.delete(member.name);
  }

  async #pingThroughHelper(helper: Member, target: string): Promise<void> {
    const { rpc, settings, clock } = this.#dependencies;
    const ping: BodyInit = { case: "ping", value: { about: target } };
    const answer = await rpc.call(helper.name, ping, settings.helperTimeoutMs);
    if (answer?.case === "done") this.onContact(target);
    else if (answer?.case === "fault") this.#unreachableReportedAt.set(target, clock.now());
  }

  /** Answers a ping of this node itself, or a request to ping another member. */
  async #handlePing({ about }: Ping): Promise<BodyInit> {
    const { self, rpc, settings } = this.#dependencies;
    if (about === "" || about === self) return { case: "done", value: {} };
    const answer = await rpc.call(about, { case: "ping", value: {} }, settings.pingTimeoutMs);
    return answer === undefined
      ? { case: "fault", value: { code: "unanswered", message: `${about} does not answer` } }
      : { case: "done", value: {} };
  }
}
