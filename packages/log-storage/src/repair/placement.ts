import { Rendezvous } from "@cranetrack/core/membership/rendezvous.js";

/** Where a replica is, or might be put. A deployment without regions gives the empty text for each. */
export interface Location {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
}

/** How crowded the most crowded zone and region of a set are; the zone counts first. */
interface Concentration {
  readonly zone: number;
  readonly region: number;
}

/**
 * Spreads a replica set over failure domains: as few members as possible in one zone, then in one region; what is
 * equal in both goes by rendezvous rank, so that every node that knows the same machines picks the same ones.
 */
export const Placement = {
  /** As many as asked, or as there are. */
  pick<T extends Location>(key: string, candidates: readonly T[], count: number): T[] {
    const chosen: T[] = [];
    while (chosen.length < count) {
      const next = Placement.next(key, chosen, candidates);
      if (next === undefined) break;
      chosen.push(next);
    }
    return chosen;
  },

  /** The best candidate to join those that stay; undefined where there is none. */
  next<T extends Location>(key: string, staying: readonly Location[], candidates: readonly T[]): T | undefined {
    const free = candidates.filter((one) => !staying.some((other) => other.name === one.name));
    const names = free.map((one) => one.name);
    const ranked = Rendezvous.rank(key, names).map((name) => free.find((one) => one.name === name)!);
    let best: T | undefined;
    for (const one of ranked)
      if (best === undefined || isLess(domainsOf(staying, one), domainsOf(staying, best))) best = one;
    return best;
  },

  /** Whether the first set is less crowded than the second. */
  isBetterDistributed(one: readonly Location[], other: readonly Location[]): boolean {
    return isLess(concentrationOf(one), concentrationOf(other));
  },

  /** Whether a majority of the set is left wherever one zone is lost. */
  survivesZoneLoss(set: readonly Location[]): boolean {
    return set.length - concentrationOf(set).zone >= Placement.majorityOf(set.length);
  },

  majorityOf(size: number): number {
    return Math.floor(size / 2) + 1;
  },
};

/** How many of the set share the candidate's zone, and its region. */
function domainsOf(set: readonly Location[], candidate: Location): Concentration {
  return {
    zone: set.filter((one) => one.zone === candidate.zone).length,
    region: set.filter((one) => one.region === candidate.region).length,
  };
}

function concentrationOf(set: readonly Location[]): Concentration {
  const domains = set.map((one) => domainsOf(set, one));
  return {
    zone: Math.max(0, ...domains.map((one) => one.zone)),
    region: Math.max(0, ...domains.map((one) => one.region)),
  };
}

function isLess(one: Concentration, other: Concentration): boolean {
  return one.zone < other.zone || (one.zone === other.zone && one.region < other.region);
}
