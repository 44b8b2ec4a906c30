import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { GossipSchema, StoreBatchReceiptSchema, StoreReceiptSchema, type Frame } from "../gen/cranetrack_pb.js";
import { RpcEndpoint } from "../rpc/rpcEndpoint.js";
import { Membership } from "../membership/membership.js";
import { StoreClient } from "./storeClient.js";
import { Wire, type BodyInit } from "../rpc/wire.js";

/** A client of one lathe, the frames that it sent, and the lathe's answers. */
function client(): {
  store: StoreClient;
  frames: Frame[];
  turn: () => void;
  answer: (frame: Frame, body: BodyInit) => void;
} {
  const frames: Frame[] = [];
  const turns: Array<() => void> = [];
  let take: (frame: Frame) => void = () => undefined;
  const net = {
    address: "10.0.0.9:1",
    send: (_address: string, bytes: Uint8Array) => void frames.push(Wire.decode(bytes)!),
    isReachable: () => true,
    onLost: () => undefined,
    drop: () => undefined,
    onFrame: (heed: (frame: Frame) => void) => void (take = heed),
  };
  const clock = {
    now: () => 0,
    once: (ms: number, ring: () => void) => (ms === 0 && turns.push(ring), { stop: () => undefined }),
    every: () => ({ stop: () => undefined }),
  };
  const chance = { draw: () => 0, identity: () => "0123456789abcdef" };
  const exchange = new RpcEndpoint("vise-1", net, clock, chance);
  const membership = new Membership({ name: "vise-1" }, [], exchange, clock, chance);
  const lathe = (name: string, address: string, isInStore: boolean): object => ({
    name,
    role: "lathe",
    address,
    state: "up",
    version: 1,
    isInStore,
  });
  const members = [lathe("lathe-1", "10.0.0.1:1", false), lathe("lathe-2", "10.0.0.2:1", true)];
  const tell = (body: BodyInit, part: object): void =>
    take(Wire.decode(Wire.encode({ from: "lathe-2", to: "vise-1", fromAddress: "", ...part, body }))!);
  tell({ case: "gossip", value: create(GossipSchema, { members }) }, {});
  return {
    store: new StoreClient(exchange, membership, clock),
    frames,
    turn: () => turns.splice(0).forEach((ring) => ring()),
    answer: (frame, body) => tell(body, { id: frame.id, isReceipt: true, caller: frame.caller }),
  };
}

const receipt = (revision: number): ReturnType<typeof create<typeof StoreReceiptSchema>> =>
  create(StoreReceiptSchema, { outcome: "done", revision });

test("calls of one turn go to a lathe in the store in a frame for each kind, each with its own answer", async () => {
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
    case: "storeBatchReceipt",
    value: create(StoreBatchReceiptSchema, { receipts: [receipt(1), receipt(2), receipt(3)] }),
  });
  answer(frames[1]!, { case: "storeReceipt", value: receipt(4) });
  expect((await Promise.all([...reads, written])).map((one) => one.revision)).toEqual([1, 2, 3, 4]);
});
