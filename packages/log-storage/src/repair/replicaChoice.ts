import type { Member } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ShardSet } from "@cranetrack/core/feeds/shardSet.js";
import { RendezvousKeys } from "@cranetrack/core/membership/rendezvous.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { ShardLeader } from "../shards/shardLeader.js";
import type { RecentJoins } from "./recentJoins.js";
import { Placement, type Location } from "./placement.js";

/** A replica of a set: the identity of its disk, and the name and zone of its machine. */
export type SetMember = ShardSet["members"][number];

/** A change of a replica set by one step: a member leaves, joins, or is replaced by another. */
export interface ReplicaChange {
  readonly leavingMember: SetMember | undefined;
  readonly joiningMember: SetMember | undefined;
  readonly reason: string;
  /**
   * The set is one loss closer to losing its majority, or an operator waits for the change; other copying does not
   * delay it.
   */
  readonly isUrgent: boolean;
}

/** A place in the set to fill, with the machines that may fill it. */
interface Vacancy {
  readonly leavingMember: SetMember | undefined;
  readonly reason: string;
  readonly isUrgent: boolean;
  /** The leaving member still works, so the change must not break what the contracts promise. */
  readonly isVoluntary: boolean;
  readonly candidates: readonly Candidate[];
}

/** A live machine outside the set whose disk may hold the replica. */
interface Candidate extends Location {
  readonly disk: string;
  readonly isStorage: boolean;
}

/**
 * Chooses the change that a replica set needs next, from what its leader knows: first it replaces lost replicas, then
 * those on machines being drained, and last it makes optional improvements.
 * Invariant: it only proposes changes; `ReplicaRepair` decides whether a change is safe to complete.
 */
export class ReplicaChoice {
  /** A member that the membership does not list as alive counts as unresponsive after this time without a reply. */
  static readonly minUnresponsiveMs = 300;
  /** The set is healthy, and may be improved, only if every member has replied within this time. */
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

  /** The next change; undefined if none is needed or no machine is available for it. */
  nextChange(isUrgentOnly: boolean): ReplicaChange | undefined {
    const { members } = this.#leader.set;
    if (members.length > this.#targetSize) return this.#shrinkChange(members);
    for (const vacancy of this.#urgentVacancies(members)) {
      const change = this.#changeFor(vacancy, members);
      if (change !== undefined) return change;
    }
    if (isUrgentOnly || !members.every((member) => this.#msSinceContact(member) < ReplicaChoice.healthyMs))
      return undefined;
    return this.#improvementChange(members);
  }

  get #targetSize(): number {
    return this.#node.parts.settings.replicas;
  }

  /** The places of lost replicas, then of those on machines being drained. */
  *#urgentVacancies(members: readonly SetMember[]): Generator<Vacancy> {
    const { settings } = this.#node.parts;
    for (const leavingMember of members.filter((member) => this.#hasNewDisk(member)))
      yield this.#vacancyOfLost(
        leavingMember,
        "the machine came back with a blank disk",
        this.#freeCandidates(leavingMember),
      );
    for (const leavingMember of members) {
      const unresponsiveMs = this.#unresponsiveMs(leavingMember);
      if (unresponsiveMs <= settings.replaceByNewcomerMs) continue;
      const isLongGone = unresponsiveMs > settings.replaceReplicaMs;
      const candidates = this.#freeCandidates(leavingMember).filter(
        (candidate) =>
          isLongGone || (candidate.isStorage && this.#recentJoins.isLikelyReplacement(candidate.disk, unresponsiveMs)),
      );
      yield this.#vacancyOfLost(leavingMember, "the replica is gone", candidates);
    }
    for (const leavingMember of members.filter((member) => this.#node.machines.isDraining(member.name)))
      yield {
        leavingMember,
        reason: "the machine is being drained",
        isUrgent: true,
        isVoluntary: true,
        candidates: this.#freeCandidates(leavingMember),
      };
  }

  #vacancyOfLost(leavingMember: SetMember, reason: string, candidates: readonly Candidate[]): Vacancy {
    return { leavingMember, reason, isUrgent: true, isVoluntary: false, candidates };
  }

  /** A change that no contract needs for surviving one more loss, but that makes the set larger or better placed. */
  #improvementChange(members: readonly SetMember[]): ReplicaChange | undefined {
    const storage = this.#freeCandidates(undefined).filter((candidate) => candidate.isStorage);
    if (storage.length === 0) return undefined;
    const improvement = { isUrgent: false, isVoluntary: true, candidates: storage };
    if (members.length < this.#targetSize)
      return this.#changeFor(
        { ...improvement, leavingMember: undefined, reason: "the set is too small", isVoluntary: false },
        members,
      );
    const nonStorageMember = members.find((member) => this.#node.membership.find(member.name)?.isStorage === false);
    if (nonStorageMember !== undefined)
      return this.#changeFor(
        { ...improvement, leavingMember: nonStorageMember, reason: "a storage machine can replace a spare" },
        members,
      );
    const set = members.map((member) => this.#locate(member));
    for (const leavingMember of members) {
      const change = this.#changeFor(
        { ...improvement, leavingMember, reason: "the change distributes the set better" },
        members,
      );
      if (change !== undefined && Placement.isBetterDistributed(this.#locationsAfter(change, members), set))
        return change;
    }
    return undefined;
  }

  /**
   * Removes one member of a set that is too large: a lost one first, then one on a machine being drained, then one
   * whose removal distributes the set better, then any other; never this replica.
   */
  #shrinkChange(members: readonly SetMember[]): ReplicaChange | undefined {
    const others = members.filter((member) => member.id !== this.#replica.id);
    const removalImprovesDistribution = (member: SetMember): boolean => {
      const rest = members.filter((other) => other !== member).map((other) => this.#locate(other));
      const locations = members.map((other) => this.#locate(other));
      return Placement.isBetterDistributed(rest, locations);
    };
    const leavingMember =
      others.find((member) => this.#hasNewDisk(member) || this.#unresponsiveMs(member) > ReplicaChoice.healthyMs) ??
      others.find((member) => this.#node.machines.isDraining(member.name)) ??
      others.find(removalImprovesDistribution) ??
      others.at(-1);
    if (leavingMember === undefined) return undefined;
    return { leavingMember, joiningMember: undefined, reason: "the set is larger than wanted", isUrgent: false };
  }

  /** Fills the vacancy with the best candidate, preferring storage machines; undefined if no change may be made. */
  #changeFor(vacancy: Vacancy, members: readonly SetMember[]): ReplicaChange | undefined {
    const staying = members.filter((member) => member !== vacancy.leavingMember).map((member) => this.#locate(member));
    const storage = vacancy.candidates.filter((candidate) => candidate.isStorage);
    const pool = storage.length > 0 ? storage : vacancy.candidates;
    const chosen = Placement.bestCandidate(RendezvousKeys.replicaSet(this.#replica.shard), staying, pool);
    if (chosen === undefined) return undefined;
    const { leavingMember, reason, isUrgent } = vacancy;
    const change = {
      leavingMember,
      joiningMember: { id: chosen.disk, name: chosen.name, zone: chosen.zone },
      reason,
      isUrgent,
    };
    return vacancy.isVoluntary && this.#breaksContract(change, members) ? undefined : change;
  }

  /** Whether a contract demands surviving the loss of a zone, and the set does so now but not after the change. */
  #breaksContract(change: ReplicaChange, members: readonly SetMember[]): boolean {
    const needsZones = (this.#node.configuration.configuration?.spaces ?? []).some(({ program }) =>
      program.some(({ contract }) => contract.keep > 0 && (contract.fault_budget.zones ?? 0) > 0),
    );
    if (!needsZones || !Placement.survivesZoneLoss(members.map((member) => this.#locate(member)))) return false;
    return !Placement.survivesZoneLoss(this.#locationsAfter(change, members));
  }

  #locationsAfter(change: ReplicaChange, members: readonly SetMember[]): Location[] {
    const staying = members.filter((member) => member !== change.leavingMember);
    const next = change.joiningMember === undefined ? staying : [...staying, change.joiningMember];
    return next.map((member) => this.#locate(member));
  }

  /** Live machines with a disk for topic logs, neither being drained nor in the set (apart from `leavingMember`). */
  #freeCandidates(leavingMember: SetMember | undefined): Candidate[] {
    const { membership, machines } = this.#node;
    const staying = this.#leader.set.members.filter((member) => member !== leavingMember);
    const isFree = (member: Member): boolean =>
      member.logDisk !== "" &&
      member.logDisk !== leavingMember?.id &&
      membership.isAlive(member.name) &&
      !machines.isDraining(member.name) &&
      !staying.some((other) => other.id === member.logDisk || other.name === member.name);
    return membership
      .all()
      .filter(isFree)
      .map(({ name, zone, region, logDisk, isStorage }) => ({ name, zone, region, disk: logDisk, isStorage }));
  }

  /** Whether the member's machine is alive with another disk than the one in the set, so the replica's data is lost. */
  #hasNewDisk(member: SetMember): boolean {
    const { membership } = this.#node;
    const present = membership.find(member.name);
    return (
      present !== undefined &&
      present.logDisk !== "" &&
      present.logDisk !== member.id &&
      membership.isAlive(member.name)
    );
  }

  /**
   * Milliseconds for which the member has been unresponsive. The leader of a new epoch has had no contact with members
   * yet, so for members that are not alive the membership's own time counts too.
   */
  #unresponsiveMs(member: SetMember): number {
    const { membership } = this.#node;
    const sinceContactMs = this.#msSinceContact(member);
    if (membership.isAlive(member.name) || sinceContactMs < ReplicaChoice.minUnresponsiveMs) return sinceContactMs;
    return Math.max(sinceContactMs, membership.sinceContactMs(member.name));
  }

  /** Milliseconds since the member's last reply to this leader. */
  #msSinceContact(member: SetMember): number {
    return this.#leader.replicator?.sinceContactMs(member.id) ?? 0;
  }

  #locate({ name, zone }: SetMember): Location {
    const { membership } = this.#node;
    const region =
      membership.find(name)?.region ?? membership.all().find((machine) => machine.zone === zone)?.region ?? "";
    return { name, zone, region };
  }
}
