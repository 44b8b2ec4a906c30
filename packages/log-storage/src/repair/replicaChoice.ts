import type { Member } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ShardSet } from "@cranetrack/core/feeds/shardSet.js";
import { RendezvousKeys } from "@cranetrack/core/membership/rendezvous.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { ShardLeader } from "../shards/shardLeader.js";
import type { RecentJoins } from "./newcomers.js";
import { Placement, type Location } from "./placement.js";

export type SetMember = ShardSet["members"][number];

/** One member less, one more, or one for another. */
export interface ReplicaChange {
  readonly out: SetMember | undefined;
  readonly in: SetMember | undefined;
  readonly why: string;
  /** The set stands one loss nearer to losing its majority, or an operator waits: not put off behind other copying. */
  readonly isUrgent: boolean;
}

interface Vacancy {
  readonly out: SetMember | undefined;
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
  static readonly minSilenceMs = 300;
  /** Every member answered within this time: the set is well, and may be changed for the better. */
  static readonly healthyMs = 1000;

  readonly #node: ClusterNode;
  readonly #replica: { readonly shard: number; readonly id: string };
  readonly #leader: ShardLeader;
  readonly #recentJoins: RecentJoins;

  constructor(
    node: ClusterNode,
    replica: { readonly shard: number; readonly id: string },
    leader: ShardLeader,
    recentJoins: RecentJoins,
  ) {
    this.#node = node;
    this.#replica = replica;
    this.#leader = leader;
    this.#recentJoins = recentJoins;
  }

  /** Undefined where nothing is to be done, or nobody is there to do it with. */
  next(isUrgentOnly: boolean): ReplicaChange | undefined {
    const { members } = this.#leader.set;
    if (members.length > this.#targetSize) return this.#shrink(members);
    for (const vacancy of this.#urgentVacancies(members)) {
      const change = this.#fill(vacancy, members);
      if (change !== undefined) return change;
    }
    if (isUrgentOnly || !members.every((member) => this.#msSinceContact(member) < ReplicaChoice.healthyMs))
      return undefined;
    return this.#improvement(members);
  }

  get #targetSize(): number {
    return this.#node.parts.settings.replicas;
  }

  *#urgentVacancies(members: readonly SetMember[]): Generator<Vacancy> {
    const { settings } = this.#node.parts;
    for (const out of members.filter((member) => this.#isBlank(member)))
      yield this.#vacancyOfLost(out, "the machine came back with a blank disk", this.#freeCandidates(out));
    for (const out of members) {
      const unresponsiveMs = this.#unresponsiveMs(out);
      if (unresponsiveMs <= settings.replaceByNewcomerMs) continue;
      const isLongGone = unresponsiveMs > settings.replaceReplicaMs;
      const candidates = this.#freeCandidates(out).filter(
        (one) => isLongGone || (one.isStorage && this.#recentJoins.isSuccessor(one.disk, unresponsiveMs)),
      );
      yield this.#vacancyOfLost(out, "the replica is gone", candidates);
    }
    for (const out of members.filter((member) => this.#node.machines.isDraining(member.name)))
      yield {
        out,
        why: "the machine is being emptied",
        isUrgent: true,
        isVoluntary: true,
        candidates: this.#freeCandidates(out),
      };
  }

  #vacancyOfLost(out: SetMember, why: string, candidates: readonly Candidate[]): Vacancy {
    return { out, why, isUrgent: true, isVoluntary: false, candidates };
  }

  /** What is not needed to keep a promise through one more loss of what is there. */
  #improvement(members: readonly SetMember[]): ReplicaChange | undefined {
    const storage = this.#freeCandidates(undefined).filter((one) => one.isStorage);
    if (storage.length === 0) return undefined;
    const better = { isUrgent: false, isVoluntary: true, candidates: storage };
    if (members.length < this.#targetSize)
      return this.#fill({ ...better, out: undefined, why: "the set is too small", isVoluntary: false }, members);
    const spare = members.find((member) => this.#node.membership.find(member.name)?.isStorage === false);
    if (spare !== undefined)
      return this.#fill({ ...better, out: spare, why: "a storage machine is there for a spare" }, members);
    const set = members.map((member) => this.#locate(member));
    for (const out of members) {
      const change = this.#fill({ ...better, out, why: "the set is spread better so" }, members);
      if (change !== undefined && Placement.isBetterDistributed(this.#after(change, members), set)) return change;
    }
    return undefined;
  }

  /** The lost go first, then who is to be emptied, then who stands closest to others; this disk last. */
  #shrink(members: readonly SetMember[]): ReplicaChange | undefined {
    const others = members.filter((member) => member.id !== this.#replica.id);
    const isClusteredWithOthers = (member: SetMember): boolean => {
      const rest = members.filter((one) => one !== member).map((one) => this.#locate(one));
      const locations = members.map((one) => this.#locate(one));
      return Placement.isBetterDistributed(rest, locations);
    };
    const out =
      others.find((member) => this.#isBlank(member) || this.#unresponsiveMs(member) > ReplicaChoice.healthyMs) ??
      others.find((member) => this.#node.machines.isDraining(member.name)) ??
      others.find(isClusteredWithOthers) ??
      others.at(-1);
    if (out === undefined) return undefined;
    return { out, in: undefined, why: "the set is larger than wanted", isUrgent: false };
  }

  #fill(vacancy: Vacancy, members: readonly SetMember[]): ReplicaChange | undefined {
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
  #breaksContract(change: ReplicaChange, members: readonly SetMember[]): boolean {
    const needsZones = (this.#node.configuration.configuration?.spaces ?? []).some(({ program }) =>
      program.some(({ contract }) => contract.keep > 0 && (contract.fault_budget.zones ?? 0) > 0),
    );
    if (!needsZones || !Placement.survivesZoneLoss(members.map((member) => this.#locate(member)))) return false;
    return !Placement.survivesZoneLoss(this.#after(change, members));
  }

  #after(change: ReplicaChange, members: readonly SetMember[]): Location[] {
    const staying = members.filter((member) => member !== change.out);
    const next = change.in === undefined ? staying : [...staying, change.in];
    return next.map((member) => this.#locate(member));
  }

  /** Live machines with a disk for topic logs that are not in the set, and are not to be emptied. */
  #freeCandidates(out: SetMember | undefined): Candidate[] {
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

  #isBlank(member: SetMember): boolean {
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
  #unresponsiveMs(member: SetMember): number {
    const { membership } = this.#node;
    const sinceContactMs = this.#msSinceContact(member);
    if (membership.isAlive(member.name) || sinceContactMs < ReplicaChoice.minSilenceMs) return sinceContactMs;
    return Math.max(sinceContactMs, membership.ageOf(member.name));
  }

  #msSinceContact(member: SetMember): number {
    return this.#leader.replicator?.sinceContactMs(member.id) ?? 0;
  }

  #locate({ name, zone }: SetMember): Location {
    const { membership } = this.#node;
    const region = membership.find(name)?.region ?? membership.all().find((one) => one.zone === zone)?.region ?? "";
    return { name, zone, region };
  }
}
