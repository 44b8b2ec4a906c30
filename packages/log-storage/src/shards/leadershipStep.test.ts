import { describe, it } from "node:test";
import { expect } from "earl";
import { decideLeadershipStep, electionDelayMs, electionRank, type LeadershipStep } from "./leadershipStep.js";

type Inputs = Parameters<typeof decideLeadershipStep>[0];

const free: Inputs = {
  route: { leader: "", epoch: 0 },
  ownName: "storage-1",
  ledEpoch: undefined,
  rank: 1,
  isDraining: false,
  freeForMs: electionDelayMs,
};
const cases: ReadonlyArray<{ what: string; inputs: Partial<Inputs>; step: LeadershipStep }> = [
  { what: "claims a free shard once its turn has come", inputs: {}, step: "claim" },
  { what: "claims at once where it ranks first", inputs: { rank: 0, freeForMs: 0 }, step: "claim" },
  { what: "waits for its turn", inputs: { freeForMs: electionDelayMs - 1 }, step: "wait" },
  { what: "claims nothing if its disk is not in the set", inputs: { rank: -1 }, step: "not-eligible" },
  { what: "claims nothing while draining", inputs: { isDraining: true }, step: "not-eligible" },
  {
    what: "leaves a shard to another leader",
    inputs: { route: { leader: "storage-2", epoch: 7 } },
    step: "not-eligible",
  },
  {
    what: "does not claim a shard that it leads",
    inputs: { route: { leader: "storage-1", epoch: 7 }, ledEpoch: 7 },
    step: "not-eligible",
  },
  {
    what: "deletes the key of an earlier process, also while draining",
    inputs: { route: { leader: "storage-1", epoch: 7 }, isDraining: true },
    step: "delete-stale-key",
  },
];

describe("decideLeadershipStep", () => {
  for (const { what, inputs, step } of cases)
    it(what, () => expect(decideLeadershipStep({ ...free, ...inputs })).toEqual(step));
});

describe("electionRank", () => {
  const members = ["a", "b", "c"].map((id) => ({ id, name: `machine-${id}`, zone: "" }));
  const rankOf = (disk: string, lost = ""): number => electionRank(3, members, disk, (name) => name !== lost);

  it("gives each member a different turn, and none to a disk outside the set", () => {
    expect(["a", "b", "c"].map((disk) => rankOf(disk)).sort()).toEqual([0, 1, 2]);
    expect(rankOf("d")).toEqual(-1);
  });

  it("leaves out unresponsive members, but never the disk itself", () => {
    const first = ["a", "b", "c"].find((disk) => rankOf(disk) === 0)!;
    const second = ["a", "b", "c"].find((disk) => rankOf(disk) === 1)!;
    expect(rankOf(second, `machine-${first}`)).toEqual(0);
    expect(rankOf(second, `machine-${second}`)).toEqual(1);
  });
});
