import { test } from "node:test";
import { DrainKey } from "@cranetrack/core/keys/drainKey.js";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import { expect } from "earl";
import { CallModel, type CallCounts } from "./callModel.js";
import { served } from "./hand.js";

const seeds = Array.from({ length: 20 }, (_, i) => 9000 + i);
/** What must have come about over all seeds, so that the model is not passed by standing still. */
const wanted: Partial<CallCounts> = {
  answered: 10_000,
  unknown: 500,
  carriedByOthers: 500,
  restarts: 200,
  restartsBesideFrozen: 50,
  unasked: 100,
  otherLife: 20,
  repeated: 50,
};

test("every reply reaches the call that it is about, and what may not be repeated runs at most once", async () => {
  const sums = new Map<string, number>();
  for (const seed of seeds) {
    const model = new CallModel(seed);
    await model.run(10_000);
    expect([seed, ...model.violations]).toEqual([seed]);
    for (const [key, count] of Object.entries(model.counts)) sums.set(key, (sums.get(key) ?? 0) + Number(count));
  }
  const tooFew = Object.entries(wanted).filter(([key, least]) => (sums.get(key) ?? 0) < least);
  expect(tooFew.map(([key]) => `${key} ${sums.get(key)}`)).toEqual([]);
});

test("a change without checks that comes once more, after another, does not undo that one", async () => {
  const { fleet } = await served(9101);
  const { store } = fleet.find("vise-1")!.node;
  const key = DrainKey.of("anvil-1");
  const done = async (change: object): Promise<string> => {
    let outcome = "";
    void store.txn(change).then((written) => (outcome = written.outcome));
    expect(await fleet.until(() => outcome !== "", 3000)).toEqual(true);
    return outcome;
  };
  // The first change comes again 500 ms later, also where it is passed on.
  fleet.wires.mutate = (_from, _to, bytes) => {
    const kind = Wire.decode(bytes)?.body.case;
    return kind === "storeCall" || kind === "storeBatch" ? [0, 500].map((delay) => ({ bytes, delay })) : undefined;
  };
  expect(await done({ puts: [{ key, value: DrainKey.write() }] })).toEqual("done");
  fleet.wires.mutate = undefined;
  expect(await done({ deletes: [key] })).toEqual("done");
  await fleet.run(2000);
  expect(fleet.find(fleet.proposer!)!.lathe!.ledger!.metadata.get(key)).toEqual(undefined);
});
