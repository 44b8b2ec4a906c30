import { Rendezvous } from "@cranetrack/core/membership/rendezvous.js";

/** The machine of a replica or of a candidate. In a deployment without regions every region is the empty string. */
export interface Location {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
}

/** The most members of a set in any one zone, and in any one region; compared by zone first. */
interface Concentration {
  readonly zone: number;
  readonly region: number;
}

/**
 * Spreads a replica set over failure domains: as few members as possible in one zone, then in one region. Rendezvous
 * rank decides between equal candidates, so that all nodes that know the same machines pick the same ones.
 */
export const Placement = {
  /** Picks `count` candidates for a new set, or all of them if there are fewer; `key` is the rendezvous key. */
  pick<T extends Location>(key: string, candidates: readonly T[], count: number): T[] {
    const chosen: T[] = [];
    while (chosen.length < count) {
      const next = Placement.bestCandidate(key, chosen, candidates);
      if (next === undefined) break;
      chosen.push(next);
    }
    return chosen;
  },

  /** The best candidate to join the members that stay; undefined if there is none. */
  bestCandidate<T extends Location>(
    key: string,
    staying: readonly Location[],
    candidates: readonly T[],
  ): T | undefined {
    const free = candidates.filter((candidate) => !staying.some((member) => member.name === candidate.name));
    const names = free.map((candidate) => candidate.name);
    const ranked = Rendezvous.rank(key, names).map((name) => free.find((candidate) => candidate.name === name)!);
    let best: T | undefined;
    for (const candidate of ranked)
      if (
        best === undefined ||
        isLessConcentrated(countInDomainsOf(staying, candidate), countInDomainsOf(staying, best))
      )
        best = candidate;
    return best;
  },

  /** Whether the first set is less concentrated in one zone, then in one region, than the second. */
  isBetterDistributed(first: readonly Location[], second: readonly Location[]): boolean {
    return isLessConcentrated(concentrationOf(first), concentrationOf(second));
  },

  /** Whether a majority of the set is left whichever single zone is lost. */
  survivesZoneLoss(set: readonly Location[]): boolean {
    return set.length - concentrationOf(set).zone >= Placement.majorityOf(set.length);
  },

  /** The smallest majority of a set of this size. */
  majorityOf(size: number): number {
    return Math.floor(size / 2) + 1;
  },
};

/** How many members of the set are in the candidate's zone, and how many in its region. */
function countInDomainsOf(set: readonly Location[], candidate: Location): Concentration {
  return {
    zone: set.filter((member) => member.zone === candidate.zone).length,
    region: set.filter((member) => member.region === candidate.region).length,
  };
}

/** The most members of the set in any one zone, and in any one region. */
function concentrationOf(set: readonly Location[]): Concentration {
  const counts = set.map((member) => countInDomainsOf(set, member));
  return {
    zone: Math.max(0, ...counts.map((count) => count.zone)),
    region: Math.max(0, ...counts.map((count) => count.region)),
  };
}

function isLessConcentrated(first: Concentration, second: Concentration): boolean {
  return first.zone < second.zone || (first.zone === second.zone && first.region < second.region);
}
