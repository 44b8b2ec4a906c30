import { test } from "node:test";
import { expect } from "earl";
import { Placement, type Location } from "./placement.js";

/** Machines placed in the given zones in turn; the region of a zone is the part of its name before the dash. */
function machines(count: number, zones: readonly string[]): Location[] {
  return Array.from({ length: count }, (_, i) => {
    const zone = zones[i % zones.length]!;
    return { name: `m${i}`, zone, region: zone.split("-")[0]! };
  });
}
const sixZones = ["n-1", "s-1", "w-1", "n-2", "s-2", "w-2"];
const largestCountIn = (set: readonly Location[], domain: "zone" | "region"): number =>
  Math.max(...set.map((member) => set.filter((other) => other[domain] === member[domain]).length));

test("a set has as few members as possible in one zone, and then in one region", () => {
  for (let shard = 0; shard < 50; shard += 1) {
    const pick = (count: number, zones: readonly string[], size: number): Location[] =>
      Placement.pick(`replicas ${shard}`, machines(count, zones), size);
    const large = pick(13, sixZones, 5);
    expect([large.length, largestCountIn(large, "zone"), largestCountIn(large, "region")]).toEqual([5, 1, 2]);
    const narrow = pick(9, ["n-1", "s-1", "w-1"], 5);
    expect([narrow.length, largestCountIn(narrow, "zone")]).toEqual([5, 2]);
    expect(Placement.survivesZoneLoss(narrow)).toEqual(true);
    expect(pick(4, ["n-1"], 5).length).toEqual(4);
  }
});

test("the choice does not depend on the order of the machines, and shards are distributed over the machines", () => {
  const all = machines(10, sixZones);
  const names = (key: string, list: readonly Location[]): string =>
    Placement.pick(key, list, 3)
      .map((machine) => machine.name)
      .join();
  expect(names("replicas 1", all)).toEqual(names("replicas 1", [...all].reverse()));
  expect(new Set(Array.from({ length: 12 }, (_, shard) => names(`replicas ${shard}`, all))).size > 6).toEqual(true);
});

test("a joining replica is chosen by the zones of the members that stay", () => {
  const [north, south, west] = machines(3, ["n-1", "s-1", "w-1"]);
  const secondNorth = { name: "x", zone: "n-1", region: "n" };
  const secondSouth = { name: "y", zone: "s-1", region: "s" };
  expect(Placement.bestCandidate("k", [north!, west!], [secondNorth, secondSouth])).toEqual(secondSouth);
  expect(Placement.bestCandidate("k", [north!, west!], [secondNorth])).toEqual(secondNorth);
  expect(Placement.bestCandidate("k", [north!, west!], [west!])).toEqual(undefined);
  expect(Placement.isBetterDistributed([north!, south!, west!], [north!, secondNorth, west!])).toEqual(true);
  expect(Placement.survivesZoneLoss([north!, secondNorth, west!])).toEqual(false);
});
