import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { KvSchema, type Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { EndedOwnersKey } from "@cranetrack/core/keys/endedOwnersKey.js";
import { OwnerKey } from "@cranetrack/core/keys/ownerKey.js";
import type { StoreOutcome, StoreCallInit } from "@cranetrack/core/store/storeClient.js";
import { expect } from "earl";
import { ClaimQueue, type ClaimAnswer } from "./claimQueue.js";

interface Call {
  sessions: string[];
  lease: string;
  answer: (outcome: StoreOutcome) => void;
}

/** A queue, and its calls to the store, which the test answers. */
function start(): { claim: (session: string, lease?: string) => Promise<ClaimAnswer>; calls: Call[] } {
  const calls: Call[] = [];
  const call = (change: StoreCallInit): Promise<StoreOutcome> =>
    new Promise((resolve) => {
      if (change.case !== "claimOwners") throw new Error(`a call ${change.case}`);
      const { lease = "", claims = [] } = change.value;
      calls.push({ sessions: claims.map(({ session = "" }) => session), lease, answer: resolve });
    });
  const queue = new ClaimQueue({ call }, "vise-1");
  const claim = (session: string, lease = "vise-1/1"): Promise<ClaimAnswer> =>
    queue.claim({ session, lease, revision: 0, isConfirmed: false });
  return { claim, calls };
}

const nextTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));
const ownerKey = (session: string, revision: number, node = "vise-1"): Kv =>
  create(KvSchema, { key: OwnerKey.of(session), value: OwnerKey.write({ node, lease: `${node}/1` }), revision });

/** Guards against one call to the store per session when many sessions reconnect at once (issue 45). */
test("few calls are in progress at a time, and claims that arrive meanwhile share the next one", async () => {
  const { claim, calls } = start();
  for (let i = 0; i < ClaimQueue.maxCalls; i += 1) {
    void claim(`first-${i}`);
    await nextTurn();
  }
  const crowd = Array.from({ length: ClaimQueue.maxClaims + 1 }, (_, i) => `crowd-${i}`);
  for (const session of crowd) void claim(session);
  await nextTurn();
  expect(calls.map(({ sessions }) => sessions.length)).toEqual([1, 1, 1, 1]);
  calls[0]!.answer({ outcome: "away" });
  calls[1]!.answer({ outcome: "away" });
  await nextTurn();
  expect(calls.slice(4).map(({ sessions }) => sessions)).toEqual([crowd.slice(0, -1), crowd.slice(-1)]);
});

test("each claim gets its own answer; a claim under another lease is sent in a call of its own", async () => {
  const { claim, calls } = start();
  const answers = ["desk", "pen", "ink"].map((session) => claim(session));
  const other = claim("desk", "vise-1/2");
  await nextTurn();
  expect(calls.map(({ lease, sessions }) => [lease, sessions.length])).toEqual([
    ["vise-1/1", 3],
    ["vise-1/2", 1],
  ]);
  const kept = create(KvSchema, { key: `${OwnerKey.prefix("desk")}subscriptions/t`, revision: 2 });
  const ended = create(KvSchema, { key: EndedOwnersKey.name, revision: 3 });
  calls[0]!.answer({
    outcome: "done",
    revision: 9,
    kvs: [ownerKey("desk", 9), kept, ownerKey("pen", 4, "vise-2"), ended],
  });
  calls[1]!.answer({ outcome: "unsure" });
  expect(await Promise.all(answers)).toEqual([
    { outcome: "granted", revision: 9, ownersEndedAt: 3, kvs: [kept] },
    { outcome: "owned", owner: { node: "vise-2", lease: "vise-2/1", revision: 4, leaseLeft: 0 } },
    { outcome: "free" },
  ]);
  expect(await other).toEqual({ outcome: "unsure" });
});
