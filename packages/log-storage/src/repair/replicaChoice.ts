import type { Member } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ShardSet } from "@cranetrack/core/feeds/shardSet.js";
import { RendezvousKeys } from "@cranetrack/core/membership/rendezvous.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { ShardLeader } from "../shards/shardLeader.js";
import type { Newcomers } from "./newcomers.js";
import { Placement, type Location } from "./placement.js";

export type Place = ShardSet["members"][number];

/** One member less, one more, or one for another. */
export interface ReplicaChange {
  readonly out: Place | undefined;
  readonly in: Place | undefined;
  readonly why: string;
  /** The set stands one loss nearer to losing its majority, or an operator waits: not put off behind other copying. */
  readonly isUrgent: boolean;
}

interface Vacancy {
  readonly out: Place | undefined;
  readonly why: string;
  readonly isUrgent: boolean;
  /** Nobody has to leave or is gone: what the contracts promise must hold after the change too. */
  readonly isVoluntary: boolean;
  readonly candidates: readonly Candidate[];
}

interface Candidate extends Location {
  readonly disk: string;
  readonly isStorage: boolean;
}

/**
 * Decides which change a replica set needs next, from what its leader knows. Losses come first, then what operators
 * ask for, then what is only better.
 * Invariant: it only proposes; whether a change is safe to complete is judged by `ReplicaRepair`.
 */
export class ReplicaChoice {
  /** A member that has left the membership or is suspected there is silent once it answered nothing for this long. */
  static readonly confirmMs = 300;
  /** Every member answered within this time: the set is well, and may be changed for the better. */
  static readonly wellMs = 1000;

  readonly #node: ClusterNode;
  readonly #replica: { readonly shard: number; readonly id: string };
  readonly #leader: ShardLeader;
  readonly #newcomers: Newcomers;

  constructor(
    node: ClusterNode,
    replica: { readonly shard: number; readonly id: string },
    leader: ShardLeader,
    newcomers: Newcomers,
  ) {
    this.#node = node;
    this.#replica = replica;
    this.#leader = leader;
    this.#newcomers = newcomers;
  }

  /** Undefined where nothing is to be done, or nobody is there to do it with. */
  next(isUrgentOnly: boolean): ReplicaChange | undefined {
    const { members } = this.#leader.set;
    if (members.length > this.#wanted) return this.#shrink(members);
    for (const vacancy of this.#urgent(members)) {
      const change = this.#fill(vacancy, members);
      if (change !== undefined) return change;
    }
    if (isUrgentOnly || !members.every((member) => this.#heardAgo(member) < ReplicaChoice.wellMs)) return undefined;
    return this.#improvement(members);
  }

  get #wanted(): number {
    return this.#node.parts.settings.replicas;
  }

  *#urgent(members: readonly Place[]): Generator<Vacancy> {
    const { settings } = this.#node.parts;
    for (const out of members.filter((member) => this.#isBlank(member)))
      yield this.#lost(out, "the machine came back with a blank disk", this.#free(out));
    for (const out of members) {
      const silentMs = this.#silentMs(out);
      if (silentMs <= settings.replaceByNewcomerMs) continue;
      const isLong = silentMs > settings.replaceReplicaMs;
      const candidates = this.#free(out).filter(
        (one) => isLong || (one.isStorage && this.#newcomers.isSuccessor(one.disk, silentMs)),
      );
      yield this.#lost(out, "the replica is gone", candidates);
    }
    for (const out of members.filter((member) => this.#node.machines.isDraining(member.name)))
      yield {
        out,
        why: "the machine is being emptied",
        isUrgent: true,
        isVoluntary: true,
        candidates: this.#free(out),
      };
  }

  #lost(out: Place, why: string, candidates: readonly Candidate[]): Vacancy {
    return { out, why, isUrgent: true, isVoluntary: false, candidates };
  }

  /** What is not needed to keep a promise through one more loss of what is there. */
  #improvement(members: readonly Place[]): ReplicaChange | undefined {
    const storage = this.#free(undefined).filter((one) => one.isStorage);
    if (storage.length === 0) return undefined;
    const better = { isUrgent: false, isVoluntary: true, candidates: storage };
    if (members.length < this.#wanted)
      return this.#fill({ ...better, out: undefined, why: "the set is too small", isVoluntary: false }, members);
    const spare = members.find((member) => this.#node.membership.find(member.name)?.isStorage === false);
    if (spare !== undefined)
      return this.#fill({ ...better, out: spare, why: "a storage machine is there for a spare" }, members);
    const set = members.map((member) => this.#locate(member));
    for (const out of members) {
      const change = this.#fill({ ...better, out, why: "the set is spread better so" }, members);
      if (change !== undefined && Placement.isBetterSpread(this.#after(change, members), set)) return change;
    }
    return undefined;
  }

  /** The lost go first, then who is to be emptied, then who stands closest to others; this disk last. */
  #shrink(members: readonly Place[]): ReplicaChange | undefined {
    const others = members.filter((member) => member.id !== this.#replica.id);
    const isCrowded = (member: Place): boolean => {
      const rest = members.filter((one) => one !== member).map((one) => this.#locate(one));
      const locations = members.map((one) => this.#locate(one));
      return Placement.isBetterSpread(rest, locations);
    };
    const out =
      others.find((member) => this.#isBlank(member) || this.#silentMs(member) > ReplicaChoice.wellMs) ??
      others.find((member) => this.#node.machines.isDraining(member.name)) ??
      others.find(isCrowded) ??
      others.at(-1);
    if (out === undefined) return undefined;
    return { out, in: undefined, why: "the set is larger than wanted", isUrgent: false };
  }

  #fill(vacancy: Vacancy, members: readonly Place[]): ReplicaChange | undefined {
    const staying = members.filter((member) => member !== vacancy.out).map((member) => this.#locate(member));
    const storage = vacancy.candidates.filter((one) => one.isStorage);
    const pool = storage.length > 0 ? storage : vacancy.candidates;
    const chosen = Placement.next(RendezvousKeys.replicaSet(this.#replica.shard), staying, pool);
    if (chosen === undefined) return undefined;
    const { out, why, isUrgent } = vacancy;
    const change = { out, in: { id: chosen.disk, name: chosen.name, zone: chosen.zone }, why, isUrgent };
    return vacancy.isVoluntary && this.#breaksContract(change, members) ? undefined : change;
  }

  /** Whether a contract asks for a zone's loss to be survived, the set does so now, and would no longer. */
  #breaksContract(change: ReplicaChange, members: readonly Place[]): boolean {
    const needsZones = (this.#node.configuration.configuration?.spaces ?? []).some(({ program }) =>
      program.some(({ contract }) => contract.keep > 0 && (contract.fault_budget.zones ?? 0) > 0),
    );
    if (!needsZones || !Placement.survivesZoneLoss(members.map((member) => this.#locate(member)))) return false;
    return !Placement.survivesZoneLoss(this.#after(change, members));
  }

  #after(change: ReplicaChange, members: readonly Place[]): Location[] {
    const staying = members.filter((member) => member !== change.out);
    const next = change.in === undefined ? staying : [...staying, change.in];
    return next.map((member) => this.#locate(member));
  }

  /** Live machines with a disk for topic logs that are not in the set, and are not to be emptied. */
  #free(out: Place | undefined): Candidate[] {
    const { membership, machines } = this.#node;
    const staying = this.#leader.set.members.filter((member) => member !== out);
    const isFree = (member: Member): boolean =>
      member.logDisk !== "" &&
      member.logDisk !== out?.id &&
      membership.isAlive(member.name) &&
      !machines.isDraining(member.name) &&
      !staying.some((one) => one.id === member.logDisk || one.name === member.name);
    return membership
      .all()
      .filter(isFree)
      .map(({ name, zone, region, logDisk, isStorage }) => ({ name, zone, region, disk: logDisk, isStorage }));
  }

  #isBlank(member: Place): boolean {
    const { membership } = this.#node;
    const present = membership.find(member.name);
    return (
      present !== undefined &&
      present.logDisk !== "" &&
      present.logDisk !== member.id &&
      membership.isAlive(member.name)
    );
  }

  /** A leader of a new epoch has heard nobody for long: then the membership tells how long the silence is. */
  #silentMs(member: Place): number {
    const { membership } = this.#node;
    const heardAgo = this.#heardAgo(member);
    if (membership.isAlive(member.name) || heardAgo < ReplicaChoice.confirmMs) return heardAgo;
    return Math.max(heardAgo, membership.ageOf(member.name));
  }

  #heardAgo(member: Place): number {
    return this.#leader.replicator?.sinceContactMs(member.id) ?? 0;
  }

  #locate({ name, zone }: Place): Location {
    const { membership } = this.#node;
    const region = membership.find(name)?.region ?? membership.all().find((one) => one.zone === zone)?.region ?? "";
    return { name, zone, region };
  }
}
