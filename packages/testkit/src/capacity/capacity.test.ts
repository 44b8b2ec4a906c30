import { readFileSync } from "node:fs";
import { test } from "node:test";
import { expect } from "earl";
import { SlopeRecord } from "../slopes/slopeRecord.js";
import { slopeRuns } from "../slopes/slopeRuns.js";
import { Capacity } from "./capacity.js";
import { targetSize } from "./capacitySize.js";
import { Slopes } from "./slopes.js";

const near = (value: number, wanted: number): void => expect(Math.abs(value - wanted) < 1e-9).toEqual(true);
const run = { what: "w", unit: "bytes", per: "key", command: "jig slope w", date: "2026-12-02", commit: "0123456" };

test("a slope is that of the straight line of least squares, and a point off it shows", () => {
  const straight = Slopes.fit([
    [10, 105],
    [20, 205],
    [40, 405],
  ]);
  near(straight.slope, 10);
  near(straight.base, 5);
  near(straight.stray, 0);
  expect(
    Slopes.fit([
      [10, 100],
      [20, 200],
      [40, 600],
    ]).stray > 0.05,
  ).toEqual(true);
});

test("a slope without a run, with too few sizes or not measured at all is named", () => {
  const points: Array<[number, number]> = [
    [1, 1],
    [2, 2],
    [3, 3],
  ];
  expect(Slopes.faults({ good: { ...run, points } }, ["good"])).toEqual([]);
  const poor = { few: { ...run, points: points.slice(1) }, unnamed: { ...run, points, commit: "" } };
  expect(Slopes.faults(poor, ["absent"])).toEqual([
    "absent: not measured",
    "few: fewer than 3 sizes",
    "unnamed: the run is not named",
  ]);
});

test("the record names a run for each slope, and every one can be run again", () => {
  expect(Slopes.faults(SlopeRecord.read(), Capacity.needed)).toEqual([]);
  expect(Object.keys(slopeRuns).sort()).toEqual([...Capacity.needed].sort());
});

test("a slope measured twice as steep changes what rests on it, and nothing else", () => {
  const slopes = SlopeRecord.read();
  const steep = slopes["ownerKey"]!.points.map(([at, value]): [number, number] => [at, 2 * value]);
  const [before, after] = [slopes, { ...slopes, ownerKey: { ...slopes["ownerKey"]!, points: steep } }].map((one) =>
    Capacity.figures(one),
  );
  near(after!.owners / before!.owners, 2);
  near(after!.ownersEnd / before!.ownersEnd, 0.5);
  expect(after!.configurationTraffic).toEqual(before!.configurationTraffic);
});

test("what control costs a node with the chosen mechanisms is within its bounds", () => {
  const together = Capacity.budget(SlopeRecord.read()).at(-1)!;
  expect([together.traffic <= targetSize.controlTraffic, together.memory <= targetSize.controlBytes]).toEqual([
    true,
    true,
  ]);
});

test("the page's tables are those that follow from the record", () => {
  const page = readFileSync(new URL("../../../../docs/CAPACITY.md", import.meta.url), "utf8");
  expect(Capacity.fill(page, SlopeRecord.read())).toEqual(page);
});
