import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { GossipSchema, StoreBatchReplySchema, StoreReplySchema, type Frame } from "../gen/cranetrack_pb.js";
import { RpcEndpoint } from "../rpc/rpcEndpoint.js";
import { Membership } from "../membership/membership.js";
import { StoreClient, type StoreCallInit } from "./storeClient.js";
import { Wire, type BodyInit } from "../rpc/wire.js";

/**
 * A store client of the control nodes `inStore`, the frames that it sent, and functions that answer a frame, end a turn
 * of the event loop, or let the pending calls time out.
 */
function client(inStore: readonly string[] = ["lathe-2"]): {
  store: StoreClient;
  frames: Frame[];
  turn: () => void;
  silence: () => void;
  answer: (frame: Frame, body: BodyInit) => void;
} {
  const frames: Frame[] = [];
  const turns: Array<() => void> = [];
  const timeouts: Array<() => void> = [];
  let receive: (frame: Frame) => void = () => undefined;
  const transport = {
    address: "10.0.0.9:1",
    send: (_address: string, bytes: Uint8Array) => void frames.push(Wire.decode(bytes)!),
    isReachable: () => true,
    onLost: () => undefined,
    drop: () => undefined,
    onFrame: (handler: (frame: Frame) => void) => void (receive = handler),
  };
  const clock = {
    now: () => 0,
    once: (ms: number, fire: () => void) => ((ms === 0 ? turns : timeouts).push(fire), { stop: () => undefined }),
    every: () => ({ stop: () => undefined }),
  };
  const random = { draw: () => 0, identity: () => "0123456789abcdef" };
  const rpc = new RpcEndpoint("vise-1", transport, clock, random);
  const membership = new Membership({ name: "vise-1" }, [], rpc, clock, random);
  const controlNode = (name: string, address: string, isInStore: boolean): object => ({
    name,
    role: "lathe",
    address,
    state: "up",
    version: 1,
    isInStore,
  });
  const members = [1, 2, 3].map((i) => controlNode(`lathe-${i}`, `10.0.0.${i}:1`, inStore.includes(`lathe-${i}`)));
  const deliver = (body: BodyInit, part: object): void =>
    receive(Wire.decode(Wire.encode({ from: "lathe-2", to: "vise-1", fromAddress: "", ...part, body }))!);
  deliver({ case: "gossip", value: create(GossipSchema, { members }) }, {});
  const turn = (): void => turns.splice(0).forEach((fire) => fire());
  return {
    store: new StoreClient(rpc, membership, clock),
    frames,
    turn,
    // A call that timed out settles one turn later.
    silence: () => {
      timeouts.splice(0).forEach((fire) => fire());
      turn();
    },
    answer: (frame, body) =>
      deliver(body, { from: frame.to, id: frame.id, isReply: true, callerIncarnation: frame.callerIncarnation }),
  };
}

const reply = (revision: number): ReturnType<typeof create<typeof StoreReplySchema>> =>
  create(StoreReplySchema, { outcome: "done", revision });

test("calls of one turn go to a member of the store in a frame for each kind, each with its own answer", async () => {
  const { store, frames, turn, answer } = client();
  const reads = [1, 2, 3].map((i) => store.read([`k${i}`]));
  const written = store.txn({ deletes: ["k1"] });
  expect(frames.length).toEqual(0);
  turn();
  expect(frames.map((frame) => [frame.to, frame.body.case])).toEqual([
    ["lathe-2", "storeBatch"],
    ["lathe-2", "storeCall"],
  ]);
  answer(frames[0]!, {
    case: "storeBatchReply",
    value: create(StoreBatchReplySchema, { replies: [reply(1), reply(2), reply(3)] }),
  });
  answer(frames[1]!, { case: "storeReply", value: reply(4) });
  expect((await Promise.all([...reads, written])).map((one) => one.revision)).toEqual([1, 2, 3, 4]);
});

/** How many control nodes a call is sent to if they give these replies in turn, and the outcome for the caller. */
async function asked(call: StoreCallInit, replies: readonly string[]): Promise<{ asked: number; outcome: string }> {
  const { store, frames, turn, silence, answer } = client(["lathe-1", "lathe-2", "lathe-3"]);
  const storeCalls = (): Frame[] => frames.filter((frame) => frame.body.case === "storeCall");
  const settled = store.call(call);
  for (const outcome of replies) {
    await new Promise((resolve) => setImmediate(resolve));
    turn();
    const frame = storeCalls().at(-1)!;
    if (outcome === "silent") silence();
    else answer(frame, { case: "storeReply", value: create(StoreReplySchema, { outcome }) });
  }
  const { outcome } = await settled;
  return { asked: new Set(storeCalls().map(({ to }) => to)).size, outcome };
}

const txn: StoreCallInit = { case: "txn", value: { puts: [{ key: "k" }] } };
const unrepeatableCases: ReadonlyArray<[says: string[], asked: number, outcome: string]> = [
  [["silent"], 1, "unsure"],
  [["unsure"], 1, "unsure"],
  [["away", "silent"], 2, "unsure"],
  [["away", "unsure"], 2, "unsure"],
  [["away", "conflict"], 2, "conflict"],
  [["away", "away", "away"], 3, "away"],
];

test("a call that may not be repeated goes to another control node only after `away`", async () => {
  for (const [says, count, outcome] of unrepeatableCases)
    expect(await asked(txn, says)).toEqual({ asked: count, outcome });
});

test("a call that may be repeated goes on after a timeout, and ends unsure if it may have been done", async () => {
  const grant: StoreCallInit = { case: "grant", value: { lease: "a/1", length: 4000 } };
  for (const call of [
    grant,
    { case: "renew", value: { lease: "a/1" } },
    { case: "read", value: {} },
  ] as StoreCallInit[]) {
    expect(await asked(call, ["silent", "unsure", "done"])).toEqual({ asked: 3, outcome: "done" });
    expect(await asked(call, ["silent", "away", "away"])).toEqual({ asked: 3, outcome: "unsure" });
    expect(await asked(call, ["away", "away", "away"])).toEqual({ asked: 3, outcome: "away" });
  }
});
