import { test } from "node:test";
import { expect } from "earl";
import { Placement, type Location } from "./placement.js";

/** So many machines, one after the other in the zones given, each zone in the region before its dash. */
function machines(count: number, zones: readonly string[]): Location[] {
  return Array.from({ length: count }, (_, i) => {
    const zone = zones[i % zones.length]!;
    return { name: `m${i}`, zone, region: zone.split("-")[0]! };
  });
}
const sixZones = ["n-1", "s-1", "w-1", "n-2", "s-2", "w-2"];
const most = (set: readonly Location[], domain: "zone" | "region"): number =>
  Math.max(...set.map((one) => set.filter((other) => other[domain] === one[domain]).length));

test("a set takes as few members of a zone, and then of a region, as there can be", () => {
  for (let shard = 0; shard < 50; shard += 1) {
    const pick = (count: number, zones: readonly string[], size: number): Location[] =>
      Placement.pick(`replicas ${shard}`, machines(count, zones), size);
    const large = pick(13, sixZones, 5);
    expect([large.length, most(large, "zone"), most(large, "region")]).toEqual([5, 1, 2]);
    const narrow = pick(9, ["n-1", "s-1", "w-1"], 5);
    expect([narrow.length, most(narrow, "zone")]).toEqual([5, 2]);
    expect(Placement.survivesZoneLoss(narrow)).toEqual(true);
    expect(pick(4, ["n-1"], 5).length).toEqual(4);
  }
});

test("every node picks the same, in whatever order it knows the machines; and not all shards go to the same", () => {
  const all = machines(10, sixZones);
  const names = (key: string, list: readonly Location[]): string =>
    Placement.pick(key, list, 3)
      .map((one) => one.name)
      .join();
  expect(names("replicas 1", all)).toEqual(names("replicas 1", [...all].reverse()));
  expect(new Set(Array.from({ length: 12 }, (_, shard) => names(`replicas ${shard}`, all))).size > 6).toEqual(true);
});

test("a joining replica is chosen by the zones of those that stay", () => {
  const [north, south, west] = machines(3, ["n-1", "s-1", "w-1"]);
  const secondNorth = { name: "x", zone: "n-1", region: "n" };
  const secondSouth = { name: "y", zone: "s-1", region: "s" };
  expect(Placement.next("k", [north!, west!], [secondNorth, secondSouth])).toEqual(secondSouth);
  expect(Placement.next("k", [north!, west!], [secondNorth])).toEqual(secondNorth);
  expect(Placement.next("k", [north!, west!], [west!])).toEqual(undefined);
  expect(Placement.isBetterDistributed([north!, south!, west!], [north!, secondNorth, west!])).toEqual(true);
  expect(Placement.survivesZoneLoss([north!, secondNorth, west!])).toEqual(false);
});
