import { test } from "node:test";
import { DrainKey } from "@cranetrack/core/keys/drainKey.js";
import { Wire, type Body } from "@cranetrack/core/rpc/wire.js";
import type { StoreCallInit } from "@cranetrack/core/store/storeClient.js";
import { Sessions } from "@cranetrack/edge/sessions/sessions.js";
import { expect } from "earl";
import { CallModel, type CallCounts } from "./callModel.js";
import { TestClient, startTestFleet } from "./testClient.js";
import { SimLoad } from "./simLoad.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

const seeds = Array.from({ length: 22 }, (_, i) => 9000 + i);
/** What must have come about over all seeds, so that the model is not passed by standing still. */
const wanted: Partial<CallCounts> = {
  answered: 10_000,
  unknown: 500,
  relayed: 500,
  restarts: 200,
  restartsWhilePeerPaused: 50,
  unasked: 100,
  staleIncarnation: 20,
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

test("an operators' order that was passed on is not passed on again after a silence, nor called undone", async () => {
  const { fleet, load, ask } = await startTestFleet(9100);
  let passed = 0;
  fleet.wires.mutate = (_from, _to, bytes) => {
    const frame = Wire.decode(bytes);
    if (frame?.body.case === "forward" && frame.body.value.method === "PUT") passed += 1;
    return frame?.body.case === "forwardReply" ? [] : undefined;
  };
  const version = load.nextVersion;
  const reply = await ask("vise-1", "PUT", "/v1/plan", documentTextOf(SimLoad.configuration(version)));
  expect([passed, reply["status"]]).toEqual([1, 504]);
  fleet.wires.mutate = undefined;
  const inForce = await ask("vise-2", "GET", "/v1/plan");
  expect((JSON.parse(String(inForce["raw"])) as { mark: number }).mark).toEqual(version);
});

test("a change without checks that comes once more, after another, does not undo that one", async () => {
  const { fleet } = await startTestFleet(9101);
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
  expect(fleet.find(fleet.leader!)!.control!.raft!.metadata.get(key)).toEqual(undefined);
});

test(
  "a transaction that a control node passed on is not passed on again when another proposes; " + "a revocation is",
  async () => {
    const { fleet } = await startTestFleet(9102);
    const old = fleet.leader!;
    const passed: string[] = [];
    fleet.wires.mutate = (from, _to, bytes) => {
      const body = Wire.decode(bytes)?.body;
      const calls = body?.case === "storeBatch" ? body.value.calls : [];
      for (const { call, isForwarded } of calls) if (isForwarded) passed.push(call.case!);
      return body?.case === "storeBatchReply" && from === fleet.addressOf(old) ? [] : undefined;
    };
    const other = fleet.withRole("lathe").find((name) => name !== old)!;
    const { rpc } = fleet.find("vise-1")!.node;
    const outcomes: string[] = [];
    const ask = (call: StoreCallInit): void => {
      const onReply = (body: Body | undefined): void =>
        void outcomes.push(`${call.case} ${body?.case === "storeReply" ? body.value.outcome : "silent"}`);
      void rpc.call(other, { case: "storeCall", value: { call } }, 3000).then(onReply);
    };
    await fleet.run(20);
    passed.length = 0;
    ask({ case: "txn", value: { puts: [{ key: "more/k" }] } });
    ask({ case: "revoke", value: { lease: "none" } });
    await fleet.run(20);
    fleet.find(old)!.control!.raft!.resign();
    expect(await fleet.until(() => outcomes.length === 2, 3000)).toEqual(true);
    expect(outcomes.sort()).toEqual(["revoke lost", "txn unsure"]);
    const count = (kind: string): number => passed.filter((one) => one === kind).length;
    expect([count("txn"), count("revoke") >= 1]).toEqual([1, true]);
  },
);

test("a session pulled again after its state was forgotten is not taken for complete", async () => {
  const { fleet, publish } = await startTestFleet(9103);
  const first = new TestClient(fleet, "vise-1", "desk", { subscriptions: [{ topic: "notes/t1" }] });
  expect(await fleet.until(() => first.linesOf("confirmed").length === 1, 5000)).toEqual(true);
  expect((await publish("desk", 1))["receipt"]).toEqual("accepted");
  // An asker that never hears the reply, nor writes the key.
  const { epoch } = fleet.find("vise-1")!.edge!.sessions.table.get("desk")!;
  const pull = { session: "desk", ownerRevision: epoch, asker: "vise-3" };
  void fleet.find("vise-3")!.node.rpc.call("vise-1", { case: "pull", value: pull }, 500);
  await fleet.run(Sessions.keepShippedMs + 2000);
  const second = new TestClient(fleet, "vise-2", "desk", { subscriptions: [{ topic: "notes/t1" }] });
  expect(await fleet.until(() => second.linesOf("confirmed").length === 1, 5000)).toEqual(true);
  const { edge, node } = fleet.find("vise-2")!;
  expect(edge!.sessions.table.get("desk")!.knowsAllNumbers(node.parts.clock.now())).toEqual(false);
});
