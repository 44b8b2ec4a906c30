/**
 * Model tests of the replicated log: the properties behind each of the five points of docs/consensus.md, and the test
 * that checks them. `violation.ts` names the properties; `observer.ts`, `modelClients.ts`, `contactWatch.ts` and
 * `recovery.ts` check them.
 *
 * | point | properties | test |
 * |---|---|---|
 * | 1 cut off | reads never go back; acknowledged orders stay; in touch only with a majority | "point 1" |
 * | 2 orders | one order a revision; acknowledged orders stay; state machines agree | "point 2" |
 * | 3 losses, drain | commits on enough disks; votes of voters only; members are the log's newest | "point 3" |
 * | 4 snapshots, catching up | commits stay; state machines agree; log matching; all catch up | "point 4" |
 * | 5 calls | replies reach their call; calls run at most once | "point 5" |
 * | all | one leader a term; one vote a term; answers only what is on disk; commits of the leader's own term | all |
 */
import { test } from "node:test";
import { expect } from "earl";
import { ExhaustiveSearch } from "./exhaustiveSearch.js";
import { RandomWalk, type WalkReport } from "./randomWalk.js";
import { scenarios, searchSettingsOf } from "./scenarios.js";
import { Trace } from "./trace.js";

/** Short, so that a failure is reported soon; `cranetrack-lab explore` shrinks it further. */
const shrinkMs = 3000;

/** A group of random walks. */
interface Group {
  machines: number;
  walks: number;
  profiles: string[];
}

async function walk({ machines, walks, profiles }: Group): Promise<WalkReport> {
  const isTended = profiles.includes("tended");
  const world = { machines, voters: 3, syncsAtOnce: false, isTended };
  const report = await new RandomWalk({ world, profiles, walks, seed: 17, steps: 400, shrinkMs }).run();
  const { violation, trace } = report;
  if (violation !== undefined) throw new Error(Trace.testSource(world, { violation, trace }), { cause: violation });
  return report;
}

/** Events that must have occurred at least once; otherwise the walks would prove nothing. */
function expectAll({ coverage }: WalkReport, events: readonly string[]): void {
  expect(events.filter((event) => coverage.countOf(`event: ${event}`) === 0)).toEqual([]);
}

test("point 1, cut off: without a majority nothing is confirmed, and later reads return nothing older", async () => {
  const report = await walk({ machines: 3, walks: 150, profiles: ["cutOff", "frozen"] });
  expectAll(report, ["leader elected", "leader replaced", "read confirmed", "read refused", "change answered done"]);
});

test("point 2, orders: one order replaces a revision, and what was acknowledged stays", async () => {
  const report = await walk({ machines: 3, walks: 150, profiles: ["orders"] });
  expectAll(report, ["change answered done", "change answered conflict", "change unanswered", "leader replaced"]);
});

test("point 3, losses: replaced, drained and removed members leave every commit on enough disks", async () => {
  const report = await walk({ machines: 5, walks: 200, profiles: ["members"] });
  expectAll(report, [
    "replace begun",
    "drain begun",
    "joint members committed",
    "leader replaced",
    "snapshot installed",
  ]);
});

test("point 3, losses: production code maintains members, with lost disks, joining replicas and drains", async () => {
  const report = await walk({ machines: 5, walks: 150, profiles: ["tended"] });
  expectAll(report, ["joint members committed", "other voters committed", "leader replaced", "snapshot installed"]);
});

test("point 4, catching up: after restarts and snapshots all members have the same log and state", async () => {
  const report = await walk({ machines: 3, walks: 200, profiles: ["restarts", "losses", "everything"] });
  expectAll(report, ["snapshot installed", "log truncated", "leader replaced"]);
});

test("point 5, calls: a reply reaches only the call it answers, and no call runs twice", async () => {
  const report = await walk({ machines: 3, walks: 200, profiles: ["calls"] });
  expectAll(report, ["call answered", "call unanswered"]);
});

for (const scenario of scenarios)
  test(`exhaustive search from "${scenario.name}" to depth ${scenario.depth} finds no violation`, async () => {
    const world = { ...scenario.world };
    const settings = await searchSettingsOf({ ...scenario, world }, { maxStates: 100_000, shrinkMs });
    const report = await new ExhaustiveSearch(settings).run();
    expect([report.violation?.message, report.isWhole]).toEqual([undefined, true]);
  });

test("the same seed gives the same walks", async () => {
  const once = await walk({ machines: 3, walks: 10, profiles: ["everything"] });
  const again = await walk({ machines: 3, walks: 10, profiles: ["everything"] });
  expect(again.coverage.lines).toEqual(once.coverage.lines);
  expect(again.states).toEqual(once.states);
});
