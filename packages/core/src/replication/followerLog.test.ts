import { test } from "node:test";
import { crc32 } from "node:zlib";
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { expect } from "earl";
import {
  AppendReplySchema,
  AppendSchema,
  EntrySchema,
  SnapshotSchema,
  type Append,
  type Entry,
  type Snapshot,
} from "../gen/cranetrack_pb.js";
import type { BodyInit } from "../rpc/wire.js";
import type { Disk, DiskChange } from "../storage/disk.js";
import { FollowerLog } from "./followerLog.js";
import { LogReplicator } from "./logReplicator.js";
import { ReplicaLog } from "./replicaLog.js";

/** A disk that keeps what was written before the last sync, and syncs only when told to. */
class SteppedDisk implements Disk {
  readonly #waiting: Array<{ changes: DiskChange[]; done: () => void }> = [];
  readonly #kept = new Map<string, Uint8Array>();

  read(prefix: string): Array<{ key: string; value: Uint8Array }> {
    const keys = [...this.#kept.keys()].filter((key) => key.startsWith(prefix)).sort();
    return keys.map((key) => ({ key, value: this.#kept.get(key)! }));
  }

  write(changes: DiskChange[]): Promise<void> {
    return new Promise((done) => this.#waiting.push({ changes, done }));
  }

  async sync(): Promise<void> {
    for (const { changes, done } of this.#waiting.splice(0)) {
      for (const change of changes)
        if ("isRemoved" in change) this.#kept.delete(change.key);
        else this.#kept.set(change.key, change.value);
      done();
    }
    await turn();
  }
}

const turn = (): Promise<void> => new Promise((resolve) => void setImmediate(resolve));
const clock = { now: () => 0, once: () => ({ stop: () => undefined }), every: () => ({ stop: () => undefined }) };
const entry = (index: number, term: number): Entry =>
  create(EntrySchema, { index, term, data: new Uint8Array([index]) });
const run = (first: number, last: number, term: number): Entry[] =>
  Array.from({ length: last - first + 1 }, (_, i) => entry(first + i, term));

interface Follower {
  disk: SteppedDisk;
  log: ReplicaLog;
  follower: FollowerLog;
  commits: number[];
  installed: number[];
  diverged: number[];
}

/** A follower that holds these entries, synced. */
async function holding(entries: Entry[], isReadable = true): Promise<Follower> {
  const disk = new SteppedDisk();
  const log = new ReplicaLog(disk, "g");
  void log.append(entries);
  await disk.sync();
  const commits: number[] = [];
  const installed: number[] = [];
  const diverged: number[] = [];
  const follower = new FollowerLog(
    log,
    "b",
    (index) => commits.push(index),
    (index) => installed.push(index),
    () => isReadable,
    (index) => diverged.push(index),
  );
  return { disk, log, follower, commits, installed, diverged };
}

const append = (value: MessageInitShape<typeof AppendSchema>): Append =>
  create(AppendSchema, { ...value, group: "g", sender: "a", receiver: "b" } as MessageInitShape<typeof AppendSchema>);
const state = new Uint8Array([9]);
const snapshot = (term: number, index: number, indexTerm: number): Snapshot =>
  create(SnapshotSchema, {
    group: "g",
    sender: "a",
    receiver: "b",
    term,
    index,
    indexTerm,
    state,
    size: state.length,
    checksum: crc32(state),
  });

/** What was answered: taken or not, match or hint, term. Undefined while nothing was. */
function watch(answer: Promise<BodyInit>): { got: unknown } {
  const seen: { got: unknown } = { got: undefined };
  void answer.then((body) => {
    if (body.case === "appendReply") seen.got = [body.value.isAccepted, body.value.match, body.value.term];
  });
  return seen;
}

test("entries other than what is committed are refused, and told of; others are an ordinary conflict", async () => {
  const { disk, log, follower, diverged } = await holding(run(1, 6, 1));
  const say = async (prevIndex: number, prevTerm: number, entries: Entry[]): Promise<unknown> => {
    const answer = watch(follower.take(append({ term: 3, prevIndex, prevTerm, commit: 0, round: 1, entries }), 4));
    await disk.sync();
    return answer.got;
  };
  expect(await say(2, 1, run(3, 4, 2))).toEqual([false, 1, 3]);
  expect(diverged).toEqual([3]);
  expect(await say(4, 2, [])).toEqual([false, 3, 3]);
  expect(diverged).toEqual([3, 4]);
  // Behind the commit index a new leader's entries take the place of what an earlier one left.
  expect(await say(6, 2, [])).toEqual([false, 4, 3]);
  expect(await say(4, 1, run(5, 5, 3))).toEqual([true, 5, 3]);
  expect([diverged, log.lastIndex]).toEqual([[3, 4], 5]);
});

test("a snapshot below the last entry takes away nothing that was synced and answered for", async () => {
  const { disk, log, follower, commits, installed } = await holding(run(1, 10, 1));
  const answer = watch(follower.takeSnapshot(snapshot(2, 5, 1), 0));
  await disk.sync();
  expect(answer.got).toEqual([true, 5, 2]);
  expect([log.lastIndex, log.syncedIndex]).toEqual([10, 10]);
  expect([commits, installed]).toEqual([[5], []]);
  expect(new ReplicaLog(disk, "g").lastIndex).toEqual(10);
});

test("a snapshot takes the place of a log that has another entry at its index, or none", async () => {
  for (const entries of [run(1, 10, 1), run(1, 3, 1)]) {
    const { disk, log, follower, installed } = await holding(entries);
    const answer = watch(follower.takeSnapshot(snapshot(3, 5, 2), 0));
    await turn();
    expect(answer.got).toEqual(undefined);
    await disk.sync();
    expect(answer.got).toEqual([true, 5, 3]);
    expect([log.baseIndex, log.lastIndex, installed]).toEqual([5, 5, [5]]);
    expect(new ReplicaLog(disk, "g").lastIndex).toEqual(5);
  }
});

test("an unreadable snapshot is refused and replaces nothing", async () => {
  const { disk, log, follower, installed } = await holding(run(1, 3, 1), false);
  const answer = watch(follower.takeSnapshot(snapshot(2, 5, 1), 0));
  await disk.sync();
  expect(answer.got).toEqual([false, 0, 2]);
  expect([log.lastIndex, installed]).toEqual([3, []]);
});

test("a restarted follower hints at its own last entry, not at what it knows to be committed", async () => {
  const { disk, follower } = await holding(run(1, 10, 1));
  const answer = watch(follower.take(append({ term: 2, prevIndex: 20, prevTerm: 2 }), 0));
  await disk.sync();
  expect(answer.got).toEqual([false, 10, 2]);
});

test("the hint passes over the whole run of a term that conflicts, but not over what is committed", async () => {
  const { disk, follower } = await holding([...run(1, 3, 1), ...run(4, 10, 2)]);
  const early = watch(follower.take(append({ term: 3, prevIndex: 8, prevTerm: 3 }), 0));
  const late = watch(follower.take(append({ term: 3, prevIndex: 8, prevTerm: 3 }), 5));
  await disk.sync();
  expect(early.got).toEqual([false, 3, 3]);
  expect(late.got).toEqual([false, 5, 3]);
});

test("an append that would cut off what is committed is refused and cuts nothing", async () => {
  const { disk, log, follower } = await holding(run(1, 5, 1));
  const answer = watch(follower.take(append({ term: 2, prevIndex: 2, prevTerm: 1, entries: run(3, 3, 2) }), 4));
  await disk.sync();
  expect((answer.got as unknown[])[0]).toEqual(false);
  expect([log.lastIndex, log.termAt(3)]).toEqual([5, 1]);
});

test("no answer leaves in a term that is not synced: to a snapshot of what is committed", async () => {
  const { disk, follower } = await holding(run(1, 5, 1));
  const answer = watch(follower.takeSnapshot(snapshot(4, 3, 1), 5));
  await turn();
  expect(answer.got).toEqual(undefined);
  await disk.sync();
  expect(answer.got).toEqual([true, 3, 4]);
});

test("no answer leaves in a term that is not synced: to a second append while the promise is under way", async () => {
  const { disk, follower } = await holding(run(1, 5, 1));
  void follower.take(append({ term: 4, prevIndex: 9, prevTerm: 3 }), 0);
  const answers = [
    watch(follower.take(append({ term: 4, prevIndex: 9, prevTerm: 3 }), 0)),
    watch(follower.take(append({ term: 4, prevIndex: 5, prevTerm: 1 }), 0)),
    watch(follower.take(append({ term: 3, prevIndex: 5, prevTerm: 1 }), 0)),
  ];
  await turn();
  expect(answers.map(({ got }) => got)).toEqual([undefined, undefined, undefined]);
  await disk.sync();
  expect(answers.map(({ got }) => got)).toEqual([
    [false, 5, 4],
    [true, 5, 4],
    [false, 0, 4],
  ]);
});

test("what was taken in a term is not answered as taken in a later one that came meanwhile", async () => {
  const { disk, log, follower } = await holding(run(1, 3, 1));
  const answer = watch(follower.takeSnapshot(snapshot(2, 5, 1), 0));
  void log.promise(3, "");
  await disk.sync();
  expect(answer.got).toEqual([false, 5, 3]);
});

test("entries that are committed but not synced yet are not answered for by a snapshot", async () => {
  const { disk, log, follower } = await holding([]);
  void log.promise(2, "");
  await disk.sync();
  void log.append(run(1, 5, 1));
  const answer = watch(follower.takeSnapshot(snapshot(2, 5, 1), 5));
  await turn();
  expect(answer.got).toEqual(undefined);
  await disk.sync();
  expect(answer.got).toEqual([true, 5, 2]);
});

test("late answers and a restarted follower cost no snapshot where the entries are still there", async () => {
  const disk = new SteppedDisk();
  const log = new ReplicaLog(disk, "g");
  void log.append(run(1, 20, 1));
  void log.compact(5, new Uint8Array([9]));
  await disk.sync();
  let now = 0;
  const sent: BodyInit[] = [];
  const replicator = new LogReplicator({
    log,
    clock: { ...clock, now: () => now },
    self: "a",
    term: 2,
    commit: 5,
    send: (_id, body) => void sent.push(body),
  });
  replicator.setMembers([["a", "b", "c"]], []);
  for (now = 0; now < 5000; now += 500) replicator.sendHeartbeats();
  const refusal = { group: "g", sender: "b", receiver: "a", term: 2, isAccepted: false, match: 10, round: 0 };
  replicator.handleReply(create(AppendReplySchema, refusal));
  expect(new Set(sent.map((body) => body.case))).toEqual(new Set(["append"]));
  const last = sent.at(-1)!;
  expect(last.case === "append" && [last.value.prevIndex, last.value.entries?.length]).toEqual([10, 10]);
});
