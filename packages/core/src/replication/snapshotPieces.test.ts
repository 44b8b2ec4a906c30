import { test } from "node:test";
import { crc32 } from "node:zlib";
import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { AppendReplySchema, AppendSchema, EntrySchema, SnapshotSchema, type Snapshot } from "../gen/cranetrack_pb.js";
import type { BodyInit } from "../rpc/wire.js";
import type { Disk } from "../storage/disk.js";
import { FollowerLog } from "./followerLog.js";
import { LogReplicator } from "./logReplicator.js";
import { ReplicaLog } from "./replicaLog.js";
import { SnapshotAssembly } from "./snapshotAssembly.js";
import { SnapshotSender } from "./snapshotSender.js";

const kib = 1024;
const heartbeatIntervalMs = 75;
const blankDisk = (): Disk => ({ read: () => [], write: () => Promise.resolve() });
const nextTurn = (): Promise<void> => new Promise((resolve) => void setImmediate(resolve));
const patternBytes = (bytes: number): Uint8Array => Uint8Array.from({ length: bytes }, (_, i) => (i * 31) % 251);
const noTimers = { once: () => ({ stop: () => undefined }), every: () => ({ stop: () => undefined }) };

/** A leader whose log begins after a snapshot, and a blank follower that needs the snapshot. */
class LeaderAndFollower {
  now = 0;
  readonly log = new ReplicaLog(blankDisk(), "g");
  readonly replicator: LogReplicator;
  follower!: FollowerLog;
  followerLog!: ReplicaLog;
  installed: Uint8Array | undefined;
  commit = 0;
  readonly sent: BodyInit[] = [];
  readonly #queue: BodyInit[] = [];
  isLost: (body: BodyInit, count: number) => boolean = () => false;

  private constructor() {
    this.replicator = new LogReplicator({
      log: this.log,
      clock: { ...noTimers, now: () => this.now },
      self: "a",
      term: 2,
      commit: 100,
      send: (_id, body) => {
        this.sent.push(body);
        if (!this.isLost(body, this.sent.length)) this.#queue.push(body);
      },
    });
    this.restartFollower();
  }

  static async withSnapshot(snapshot: Uint8Array): Promise<LeaderAndFollower> {
    const pair = new LeaderAndFollower();
    await pair.log.installSnapshot(100, 1, snapshot);
    await pair.append(5);
    pair.replicator.setMembers([["a"]], ["b"]);
    return pair;
  }

  async append(count: number, bytes = 10): Promise<void> {
    for (let i = 0; i < count; i += 1)
      await this.log.append([
        create(EntrySchema, { index: this.log.lastIndex + 1, term: 2, data: new Uint8Array(bytes) }),
      ]);
  }

  restartFollower(): void {
    this.commit = 0;
    this.followerLog = new ReplicaLog(blankDisk(), "g");
    this.follower = new FollowerLog({
      log: this.followerLog,
      self: "b",
      onCommit: (index) => (this.commit = Math.max(this.commit, index)),
      onSnapshot: (index, state) => {
        this.commit = index;
        this.installed = state;
      },
    });
  }

  async run(ms: number): Promise<void> {
    for (const end = this.now + ms; this.now < end; this.now += heartbeatIntervalMs) {
      this.replicator.sendHeartbeats();
      await this.#deliver();
    }
  }

  get pieces(): Array<{ offset: number; length: number }> {
    return this.sent.flatMap((body) =>
      body.case === "snapshot" ? [{ offset: body.value.offset!, length: body.value.state!.length }] : [],
    );
  }

  get sentBytes(): number {
    return this.pieces.reduce((sum, { length }) => sum + length, 0);
  }

  async #deliver(): Promise<void> {
    for (let body = this.#queue.shift(); body !== undefined; body = this.#queue.shift()) {
      let answer: BodyInit | undefined;
      if (body.case === "append")
        answer = await this.follower.handleAppend(create(AppendSchema, body.value), this.commit);
      if (body.case === "snapshot")
        answer = await this.follower.handleSnapshotPiece(create(SnapshotSchema, body.value), this.commit);
      if (answer?.case === "appendReply") this.replicator.handleReply(create(AppendReplySchema, answer.value));
      await nextTurn();
    }
  }
}

test("a snapshot is sent in pieces, each once if nothing is lost, followed by the entries after it", async () => {
  const snapshot = patternBytes(1200 * kib);
  const pair = await LeaderAndFollower.withSnapshot(snapshot);
  await pair.run(300);
  expect(pair.pieces.map(({ offset }) => offset / kib)).toEqual([0, 256, 512, 768, 1024]);
  expect(pair.pieces.every(({ length }) => length <= 256 * kib)).toEqual(true);
  expect(Buffer.compare(pair.installed!, snapshot)).toEqual(0);
  expect([pair.followerLog.lastIndex, pair.replicator.matchOf("b")]).toEqual([105, 105]);
});

test("after losses a transfer continues where it was and never restarts", async () => {
  const pair = await LeaderAndFollower.withSnapshot(patternBytes(1200 * kib));
  pair.isLost = (_body, count) => (count * 7) % 5 < 2;
  await pair.run(10_000);
  const offsets = pair.pieces.map(({ offset }) => offset);
  expect(offsets).toEqual([...offsets].sort((a, b) => a - b));
  expect(pair.replicator.matchOf("b")).toEqual(105);
  expect(pair.sentBytes <= 2 * 1200 * kib).toEqual(true);
});

test("a piece is sent less and less often to a follower that does not reply", async () => {
  const pair = await LeaderAndFollower.withSnapshot(patternBytes(1200 * kib));
  pair.isLost = (body) => body.case === "snapshot";
  await pair.run(20_000);
  expect(pair.pieces.length >= 4 && pair.pieces.length <= 10).toEqual(true);
  expect(new Set(pair.pieces.map(({ offset }) => offset))).toEqual(new Set([0]));
});

test("confirming leadership sends no piece again", async () => {
  const pair = await LeaderAndFollower.withSnapshot(patternBytes(600 * kib));
  pair.isLost = (body) => body.case === "snapshot";
  await pair.run(heartbeatIntervalMs);
  for (let i = 0; i < 50; i += 1) void pair.replicator.confirmLeadership();
  expect(pair.pieces.length).toEqual(1);
});

test("a follower that restarts during a transfer is sent the whole snapshot again, and installs it", async () => {
  const snapshot = patternBytes(1200 * kib);
  const pair = await LeaderAndFollower.withSnapshot(snapshot);
  pair.isLost = () => pair.pieces.length > 3;
  await pair.run(200);
  pair.restartFollower();
  pair.isLost = () => false;
  await pair.run(6000);
  expect(Buffer.compare(pair.installed!, snapshot)).toEqual(0);
  expect(pair.replicator.matchOf("b")).toEqual(105);
});

test("a transfer is completed with the same snapshot if the log is compacted in the meantime", async () => {
  const snapshot = patternBytes(1200 * kib);
  const pair = await LeaderAndFollower.withSnapshot(snapshot);
  pair.isLost = () => pair.pieces.length > 2;
  await pair.run(200);
  await pair.log.compact(105, patternBytes(500 * kib), { entries: 10, bytes: 1000 });
  pair.isLost = () => false;
  await pair.run(2000);
  expect(Buffer.compare(pair.installed!, snapshot)).toEqual(0);
  expect(pair.replicator.matchOf("b")).toEqual(105);
  expect(pair.sentBytes < 1800 * kib).toEqual(true);
});

const whole = patternBytes(600 * kib);
const pieceAt = (offset: number, change: Partial<Omit<Snapshot, "$typeName" | "$unknown">> = {}): Snapshot =>
  create(SnapshotSchema, {
    group: "g",
    term: 2,
    sender: "a",
    index: 9,
    indexTerm: 1,
    offset,
    state: whole.subarray(offset, offset + SnapshotSender.pieceBytes),
    size: whole.length,
    checksum: crc32(whole),
    ...change,
  });
const step = SnapshotSender.pieceBytes;

test("a piece out of order is refused with the offset to continue from", () => {
  const assembly = new SnapshotAssembly();
  expect(assembly.addPiece(pieceAt(step))).toEqual({ kind: "refused", received: 0 });
  expect(assembly.addPiece(pieceAt(0))).toEqual({ kind: "taken", received: step });
  expect(assembly.addPiece(pieceAt(2 * step))).toEqual({ kind: "refused", received: step });
  expect(assembly.addPiece(pieceAt(0))).toEqual({ kind: "refused", received: step });
  expect(assembly.addPiece(pieceAt(step))).toEqual({ kind: "taken", received: 2 * step });
  const last = assembly.addPiece(pieceAt(2 * step));
  expect(last.kind === "whole" && Buffer.compare(last.state, whole)).toEqual(0);
});

test("a piece of another snapshot, term or sender is never mixed into the one in progress", () => {
  for (const change of [{ index: 8 }, { indexTerm: 2 }, { term: 3 }, { sender: "c" }, { checksum: 1 }]) {
    const assembly = new SnapshotAssembly();
    assembly.addPiece(pieceAt(0));
    expect(assembly.addPiece(pieceAt(step, change))).toEqual({ kind: "refused", received: 0 });
    expect(assembly.addPiece(pieceAt(step))).toEqual({ kind: "taken", received: 2 * step });
  }
});

test("a snapshot whose bytes were altered is refused", () => {
  const assembly = new SnapshotAssembly();
  assembly.addPiece(pieceAt(0));
  assembly.addPiece(pieceAt(step, { state: new Uint8Array(step) }));
  expect(assembly.addPiece(pieceAt(2 * step))).toEqual({ kind: "refused", received: 0 });
  expect(assembly.addPiece(pieceAt(0))).toEqual({ kind: "taken", received: step });
});

test("a snapshot that is too large, and a piece beyond its end or with invalid numbers, are refused", () => {
  const assembly = new SnapshotAssembly(1000 * kib);
  const malformedPieces = [
    { size: 1001 * kib },
    { size: 100 },
    { size: NaN },
    { offset: -1 },
    { state: new Uint8Array() },
  ];
  for (const malformed of malformedPieces)
    expect(assembly.addPiece(pieceAt(0, malformed))).toEqual({ kind: "refused", received: 0 });
});

test("a follower replaces its log only once it has all pieces, and never by an unreadable snapshot", async () => {
  for (const isReadable of [true, false]) {
    const log = new ReplicaLog(blankDisk(), "g");
    await log.append([create(EntrySchema, { index: 1, term: 1 })]);
    const follower = new FollowerLog({
      log,
      self: "b",
      onCommit: () => undefined,
      onSnapshot: () => undefined,
      isReadable: () => isReadable,
    });
    const answers: unknown[] = [];
    for (const offset of [0, step, 2 * step]) {
      const body = await follower.handleSnapshotPiece(pieceAt(offset), 0);
      if (body.case === "appendReply")
        answers.push([body.value.isAccepted, body.value.match, body.value.received, log.lastIndex]);
    }
    const last = isReadable ? [true, 9, 0, 9] : [false, 0, 0, 1];
    expect(answers).toEqual([[false, 0, step, 1], [false, 0, 2 * step, 1], last]);
  }
});
