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
import { DiskRoom } from "../storage/diskRoom.js";
import { FollowerLog } from "./followerLog.js";
import { LogReplicator } from "./logReplicator.js";
import { ReplicaLog } from "./replicaLog.js";

/** A disk that stores and acknowledges writes only when the test calls `sync`. */
class ManualSyncDisk implements Disk {
  readonly #pendingWrites: Array<{ changes: DiskChange[]; done: () => void }> = [];
  readonly #stored = new Map<string, Uint8Array>();

  read(prefix: string): Array<{ key: string; value: Uint8Array }> {
    const keys = [...this.#stored.keys()].filter((key) => key.startsWith(prefix)).sort();
    return keys.map((key) => ({ key, value: this.#stored.get(key)! }));
  }

  write(changes: DiskChange[]): Promise<void> {
    return new Promise((done) => this.#pendingWrites.push({ changes, done }));
  }

  async sync(): Promise<void> {
    for (const { changes, done } of this.#pendingWrites.splice(0)) {
      for (const change of changes)
        if ("isRemoved" in change) this.#stored.delete(change.key);
        else this.#stored.set(change.key, change.value);
      done();
    }
    await nextTurn();
  }
}

const nextTurn = (): Promise<void> => new Promise((resolve) => void setImmediate(resolve));
const clock = { now: () => 0, once: () => ({ stop: () => undefined }), every: () => ({ stop: () => undefined }) };
const entry = (index: number, term: number): Entry =>
  create(EntrySchema, { index, term, data: new Uint8Array([index]) });
const entryRun = (first: number, last: number, term: number): Entry[] =>
  Array.from({ length: last - first + 1 }, (_, i) => entry(first + i, term));

interface Follower {
  disk: ManualSyncDisk;
  log: ReplicaLog;
  follower: FollowerLog;
  commits: number[];
  installed: number[];
  diverged: number[];
}

/** A follower whose log contains these entries, synced. */
async function followerHolding(entries: Entry[], isReadable = true): Promise<Follower> {
  const disk = new ManualSyncDisk();
  const log = new ReplicaLog(disk, "g");
  void log.append(entries);
  await disk.sync();
  const commits: number[] = [];
  const installed: number[] = [];
  const diverged: number[] = [];
  const follower = new FollowerLog({
    log,
    self: "b",
    onCommit: (index) => commits.push(index),
    onSnapshot: (index) => installed.push(index),
    isReadable: () => isReadable,
    onDivergence: (index) => diverged.push(index),
  });
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

/** Observes a reply as [isAccepted, match or hint, term]; undefined until it arrives. */
function observeReply(answer: Promise<BodyInit>): { got: unknown } {
  const observed: { got: unknown } = { got: undefined };
  void answer.then((body) => {
    if (body.case === "appendReply") observed.got = [body.value.isAccepted, body.value.match, body.value.term];
  });
  return observed;
}

test("entries that differ from committed ones are refused and reported, other differences only refused", async () => {
  const { disk, log, follower, diverged } = await followerHolding(entryRun(1, 6, 1));
  const takeAppend = async (prevIndex: number, prevTerm: number, entries: Entry[]): Promise<unknown> => {
    const answer = observeReply(
      follower.handleAppend(append({ term: 3, prevIndex, prevTerm, commit: 0, round: 1, entries }), 4),
    );
    await disk.sync();
    return answer.got;
  };
  expect(await takeAppend(2, 1, entryRun(3, 4, 2))).toEqual([false, 1, 3]);
  expect(diverged).toEqual([3]);
  expect(await takeAppend(4, 2, [])).toEqual([false, 3, 3]);
  expect(diverged).toEqual([3, 4]);
  // After the commit index a new leader's entries replace those of an earlier leader.
  expect(await takeAppend(6, 2, [])).toEqual([false, 4, 3]);
  expect(await takeAppend(4, 1, entryRun(5, 5, 3))).toEqual([true, 5, 3]);
  expect([diverged, log.lastIndex]).toEqual([[3, 4], 5]);
});

// Guards against Acks (review/6): nothing but room was left to decide what a nearly full disk takes.
test("a follower without room takes the entries that fit, says so, and takes the rest once there is room", async () => {
  const disk = new ManualSyncDisk();
  const log = new ReplicaLog(disk, "g");
  let freeBytes = 250;
  const room = new DiskRoom({ fillShare: (extraBytes) => (extraBytes > freeBytes ? 1 : 0.8) });
  const follower = new FollowerLog({ log, self: "b", onCommit: () => undefined, onSnapshot: () => undefined, room });
  const take = async (entries: Entry[]): Promise<unknown> => {
    const prevIndex = entries.length === 0 ? log.lastIndex : entries[0]!.index - 1;
    const prevTerm = prevIndex === 0 ? 0 : 1;
    const answer = follower.handleAppend(append({ term: 1, prevIndex, prevTerm, commit: 0, round: 1, entries }), 0);
    await disk.sync();
    const body = await answer;
    if (body.case !== "appendReply") return undefined;
    const { isAccepted, match, isShortOfRoom, isOutOfRoom } = body.value;
    return { isAccepted, match, isShortOfRoom, isOutOfRoom };
  };
  const entries = entryRun(1, 4, 1).map((entry) => ({ ...entry, data: new Uint8Array(100) }));
  const refusal = { isAccepted: true, match: 2, isShortOfRoom: true, isOutOfRoom: true };
  expect(await take(entries)).toEqual(refusal);
  expect(await take([])).toEqual(refusal);
  const tooLarge = { ...snapshot(1, 9, 1), size: 1000 };
  const pieceAnswer = follower.handleSnapshotPiece(tooLarge, 0);
  await disk.sync();
  const { value } = await pieceAnswer;
  expect([value, log.lastIndex]).toEqual([expect.subset({ isAccepted: false, isOutOfRoom: true }), 2]);
  freeBytes = 10_000;
  const taken = { isAccepted: true, match: 4, isShortOfRoom: true, isOutOfRoom: false };
  expect(await take(entries)).toEqual(taken);
});

test("a snapshot that ends before the last entry removes no entry that was synced and acknowledged", async () => {
  const { disk, log, follower, commits, installed } = await followerHolding(entryRun(1, 10, 1));
  const answer = observeReply(follower.handleSnapshotPiece(snapshot(2, 5, 1), 0));
  await disk.sync();
  expect(answer.got).toEqual([true, 5, 2]);
  expect([log.lastIndex, log.syncedIndex]).toEqual([10, 10]);
  expect([commits, installed]).toEqual([[5], []]);
  expect(new ReplicaLog(disk, "g").lastIndex).toEqual(10);
});

test("a snapshot replaces a log that has another entry or none at its index", async () => {
  for (const entries of [entryRun(1, 10, 1), entryRun(1, 3, 1)]) {
    const { disk, log, follower, installed } = await followerHolding(entries);
    const answer = observeReply(follower.handleSnapshotPiece(snapshot(3, 5, 2), 0));
    await nextTurn();
    expect(answer.got).toEqual(undefined);
    await disk.sync();
    expect(answer.got).toEqual([true, 5, 3]);
    expect([log.baseIndex, log.lastIndex, installed]).toEqual([5, 5, [5]]);
    expect(new ReplicaLog(disk, "g").lastIndex).toEqual(5);
  }
});

test("an unreadable snapshot is refused and replaces nothing", async () => {
  const { disk, log, follower, installed } = await followerHolding(entryRun(1, 3, 1), false);
  const answer = observeReply(follower.handleSnapshotPiece(snapshot(2, 5, 1), 0));
  await disk.sync();
  expect(answer.got).toEqual([false, 0, 2]);
  expect([log.lastIndex, installed]).toEqual([3, []]);
});

test("a restarted follower hints at its last entry, not at its commit index", async () => {
  const { disk, follower } = await followerHolding(entryRun(1, 10, 1));
  const answer = observeReply(follower.handleAppend(append({ term: 2, prevIndex: 20, prevTerm: 2 }), 0));
  await disk.sync();
  expect(answer.got).toEqual([false, 10, 2]);
});

test("the hint skips all entries of the conflicting term, but no committed ones", async () => {
  const { disk, follower } = await followerHolding([...entryRun(1, 3, 1), ...entryRun(4, 10, 2)]);
  const early = observeReply(follower.handleAppend(append({ term: 3, prevIndex: 8, prevTerm: 3 }), 0));
  const late = observeReply(follower.handleAppend(append({ term: 3, prevIndex: 8, prevTerm: 3 }), 5));
  await disk.sync();
  expect(early.got).toEqual([false, 3, 3]);
  expect(late.got).toEqual([false, 5, 3]);
});

test("an append that would remove a committed entry is refused and removes nothing", async () => {
  const { disk, log, follower } = await followerHolding(entryRun(1, 5, 1));
  const answer = observeReply(
    follower.handleAppend(append({ term: 2, prevIndex: 2, prevTerm: 1, entries: entryRun(3, 3, 2) }), 4),
  );
  await disk.sync();
  expect((answer.got as unknown[])[0]).toEqual(false);
  expect([log.lastIndex, log.termAt(3)]).toEqual([5, 1]);
});

test("no reply is sent before its term is synced: reply to a snapshot of committed entries", async () => {
  const { disk, follower } = await followerHolding(entryRun(1, 5, 1));
  const answer = observeReply(follower.handleSnapshotPiece(snapshot(4, 3, 1), 5));
  await nextTurn();
  expect(answer.got).toEqual(undefined);
  await disk.sync();
  expect(answer.got).toEqual([true, 3, 4]);
});

test("no reply is sent before its term is synced: reply to a second append during the write of the term", async () => {
  const { disk, follower } = await followerHolding(entryRun(1, 5, 1));
  void follower.handleAppend(append({ term: 4, prevIndex: 9, prevTerm: 3 }), 0);
  const answers = [
    observeReply(follower.handleAppend(append({ term: 4, prevIndex: 9, prevTerm: 3 }), 0)),
    observeReply(follower.handleAppend(append({ term: 4, prevIndex: 5, prevTerm: 1 }), 0)),
    observeReply(follower.handleAppend(append({ term: 3, prevIndex: 5, prevTerm: 1 }), 0)),
  ];
  await nextTurn();
  expect(answers.map(({ got }) => got)).toEqual([undefined, undefined, undefined]);
  await disk.sync();
  expect(answers.map(({ got }) => got)).toEqual([
    [false, 5, 4],
    [true, 5, 4],
    [false, 0, 4],
  ]);
});

test("a snapshot accepted in one term is not acknowledged if a later term began in the meantime", async () => {
  const { disk, log, follower } = await followerHolding(entryRun(1, 3, 1));
  const answer = observeReply(follower.handleSnapshotPiece(snapshot(2, 5, 1), 0));
  void log.saveTermAndVote(3, "");
  await disk.sync();
  expect(answer.got).toEqual([false, 5, 3]);
});

test("a snapshot does not acknowledge committed entries that are not synced yet", async () => {
  const { disk, log, follower } = await followerHolding([]);
  void log.saveTermAndVote(2, "");
  await disk.sync();
  void log.append(entryRun(1, 5, 1));
  const answer = observeReply(follower.handleSnapshotPiece(snapshot(2, 5, 1), 5));
  await nextTurn();
  expect(answer.got).toEqual(undefined);
  await disk.sync();
  expect(answer.got).toEqual([true, 5, 2]);
});

test("late replies and a restarted follower cause no snapshot while the log still holds the entries", async () => {
  const disk = new ManualSyncDisk();
  const log = new ReplicaLog(disk, "g");
  void log.append(entryRun(1, 20, 1));
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
