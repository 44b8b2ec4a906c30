import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import {
  AppendReplySchema,
  AppendSchema,
  EntrySchema,
  type Append,
  type AppendReply,
  type Entry,
} from "../gen/cranetrack_pb.js";
import type { BodyInit } from "../rpc/wire.js";
import type { Disk, DiskChange } from "../storage/disk.js";
import { FollowerLog } from "./followerLog.js";
import { ReplicaLog } from "./replicaLog.js";
import { LogReplicator } from "./logReplicator.js";

/** A disk that stores and acknowledges writes only when the test calls `sync`. */
class ManualSyncDisk implements Disk {
  readonly #pendingWrites: Array<() => void> = [];
  readonly stored = new Map<string, Uint8Array>();

  read(prefix: string): Array<{ key: string; value: Uint8Array }> {
    return [...this.stored]
      .filter(([key]) => key.startsWith(prefix))
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, value]) => ({ key, value }));
  }

  write(changes: DiskChange[]): Promise<void> {
    return new Promise((resolve) =>
      this.#pendingWrites.push(() => {
        for (const change of changes)
          if ("isRemoved" in change) this.stored.delete(change.key);
          else this.stored.set(change.key, change.value);
        resolve();
      }),
    );
  }

  async sync(): Promise<void> {
    for (const done of this.#pendingWrites.splice(0)) done();
    await new Promise((resolve) => setImmediate(resolve));
  }
}

const clock = { now: () => 0, once: () => ({ stop: () => undefined }), every: () => ({ stop: () => undefined }) };
const entry = (index: number, term: number): Entry =>
  create(EntrySchema, { index, term, data: new Uint8Array([index]) });
const reply = (sender: string, match: number, term = 2): ReturnType<typeof create<typeof AppendReplySchema>> =>
  create(AppendReplySchema, { group: "g", sender, receiver: "a", term, isAccepted: true, match, round: 0 });

function replicatorOver(log: ReplicaLog, term: number): LogReplicator {
  return new LogReplicator({ log, clock, self: "a", term, commit: 0, send: () => undefined });
}

test("an entry counts for its own replica only once it is synced, and commits only on a majority", async () => {
  const disk = new ManualSyncDisk();
  const log = new ReplicaLog(disk, "g");
  const replicator = replicatorOver(log, 2);
  replicator.setMembers([["a", "b", "c"]], []);
  void log.append([entry(1, 2)]).then(() => replicator.sendNewEntries());
  replicator.handleReply(reply("b", 1));
  expect(replicator.commit).toEqual(0);
  await disk.sync();
  expect(replicator.commit).toEqual(1);
});

test("entries of an earlier term commit only together with a later one of this term", async () => {
  const disk = new ManualSyncDisk();
  const log = new ReplicaLog(disk, "g");
  void log.append([entry(1, 1)]);
  await disk.sync();
  const replicator = replicatorOver(log, 2);
  replicator.setMembers([["a", "b", "c"]], []);
  replicator.handleReply(reply("b", 1));
  replicator.handleReply(reply("c", 1));
  expect(replicator.commit).toEqual(0);
  void log.append([entry(2, 2)]);
  await disk.sync();
  replicator.handleReply(reply("b", 2));
  expect(replicator.commit).toEqual(2);
});

test("during a change of members an entry needs a majority of the old voter set and of the new one", async () => {
  const disk = new ManualSyncDisk();
  const log = new ReplicaLog(disk, "g");
  const replicator = replicatorOver(log, 2);
  replicator.setMembers(
    [
      ["a", "b", "c"],
      ["a", "b", "d"],
    ],
    [],
  );
  void log.append([entry(1, 2)]);
  await disk.sync();
  replicator.handleReply(reply("c", 1));
  expect(replicator.commit).toEqual(0);
  replicator.handleReply(reply("d", 1));
  expect(replicator.commit).toEqual(1);
});

test("a replica replies after syncing, refuses lower terms and truncates conflicting entries", async () => {
  const disk = new ManualSyncDisk();
  const log = new ReplicaLog(disk, "g");
  const follower = new FollowerLog({ log, self: "b", onCommit: () => undefined, onSnapshot: () => undefined });
  const append = (term: number, prevIndex: number, prevTerm: number, entries: Entry[]): Promise<unknown> =>
    follower
      .handleAppend(
        create(AppendSchema, { group: "g", term, sender: "a", receiver: "b", prevIndex, prevTerm, entries }),
        0,
      )
      .then((body) => (body.case === "appendReply" ? [body.value.isAccepted, body.value.match, body.value.term] : []));
  let answered: unknown;
  void append(2, 0, 0, [entry(1, 1), entry(2, 1)]).then((got) => (answered = got));
  await new Promise((resolve) => setImmediate(resolve));
  expect(answered).toEqual(undefined);
  await disk.sync();
  expect(answered).toEqual([true, 2, 2]);

  expect(await append(1, 2, 1, [entry(3, 1)])).toEqual([false, 0, 2]);
  expect(log.lastIndex).toEqual(2);

  const cut = append(3, 1, 1, [entry(2, 3)]);
  await disk.sync();
  expect(await cut).toEqual([true, 2, 3]);
  expect(log.termAt(2)).toEqual(3);
  // The hint is the end of this log; the leader's next append finds out up to where the logs match.
  expect(await append(3, 5, 3, [entry(6, 3)])).toEqual([false, 2, 3]);

  const again = new ReplicaLog(disk, "g");
  expect([again.lastIndex, again.lastTerm, again.term]).toEqual([2, 3, 3]);
});

test(
  "entries that are not contiguous, or contain invalid numbers, are refused and leave the " + "log unchanged",
  async () => {
    const log = new ReplicaLog(new ManualSyncDisk(), "g");
    const follower = new FollowerLog({ log, self: "b", onCommit: () => undefined, onSnapshot: () => undefined });
    const malformedAppends = [
      { entries: [entry(2, 1)] },
      { entries: [entry(1, 1), entry(3, 1)] },
      { entries: [entry(1, 9)] },
      { term: NaN },
      { term: 2.5 },
      { prevIndex: -1 },
      { commit: Infinity },
    ];
    for (const malformed of malformedAppends) {
      const body = await follower.handleAppend(
        create(AppendSchema, { group: "g", term: 2, sender: "a", receiver: "b", ...malformed }),
        0,
      );
      expect(body.case === "appendReply" && body.value.isAccepted).toEqual(false);
    }
    expect([log.lastIndex, log.term]).toEqual([0, 0]);
  },
);

test("also without a change of term a replica replies only after syncing", async () => {
  const disk = new ManualSyncDisk();
  const log = new ReplicaLog(disk, "g");
  const follower = new FollowerLog({ log, self: "b", onCommit: () => undefined, onSnapshot: () => undefined });
  void log.saveTermAndVote(2, "");
  await disk.sync();
  let isAnswered = false;
  void follower
    .handleAppend(create(AppendSchema, { group: "g", term: 2, sender: "a", receiver: "b", entries: [entry(1, 2)] }), 0)
    .then(() => (isAnswered = true));
  await new Promise((resolve) => setImmediate(resolve));
  expect(isAnswered).toEqual(false);
  await disk.sync();
  expect(isAnswered).toEqual(true);
});

test("a replica that is up to date is sent nothing until the idle time is over", async () => {
  let now = 0;
  const sent: string[] = [];
  const disk = new ManualSyncDisk();
  const log = new ReplicaLog(disk, "g");
  const send = (id: string): void => void sent.push(id);
  const replicator = new LogReplicator({
    log,
    clock: { ...clock, now: () => now },
    self: "a",
    term: 2,
    commit: 0,
    send,
  });
  const heartbeatRecipientsAt = (time: number): string => {
    now = time;
    sent.length = 0;
    replicator.sendHeartbeats(250);
    return sent.join();
  };
  replicator.setMembers([["a", "b", "c"]], []);
  void log.append([entry(1, 2)]).then(() => replicator.sendNewEntries());
  await disk.sync();
  expect(sent).toEqual(["b", "c"]);
  replicator.handleReply(reply("b", 1));
  expect(replicator.commit).toEqual(1);
  // Replica b was not sent the commit index yet, and replica c has not replied.
  expect(heartbeatRecipientsAt(100)).toEqual("b,c");
  replicator.handleReply(reply("b", 1));
  expect(heartbeatRecipientsAt(200)).toEqual("c");
  replicator.handleReply(reply("c", 1));
  expect(heartbeatRecipientsAt(300)).toEqual("");
  expect(heartbeatRecipientsAt(400)).toEqual("b");
  expect(heartbeatRecipientsAt(500)).toEqual("b,c");
  expect(heartbeatRecipientsAt(600)).toEqual("b,c");
});

test("an overdue reply counts in the reply time for as long as it is overdue", async () => {
  let now = 0;
  const log = new ReplicaLog(new ManualSyncDisk(), "g");
  const ticking = { ...clock, now: () => now };
  const replicator = new LogReplicator({ log, clock: ticking, self: "a", term: 2, commit: 0, send: () => undefined });
  replicator.setMembers([["a", "b", "c"]], []);
  replicator.sendHeartbeats();
  now = 400;
  expect(replicator.majorityReplyMs).toEqual(400);
  replicator.handleReply(reply("b", 0));
  now = 500;
  expect(replicator.majorityReplyMs).toEqual(400);
  replicator.sendHeartbeats();
  replicator.handleReply(reply("c", 0));
  expect(replicator.majorityReplyMs).toEqual(400);
});

/** A leader whose entry 1 is synced on both other replicas, and the appends that it sends from then on. */
async function leaderWithSyncedEntry(): Promise<{
  log: ReplicaLog;
  replicator: LogReplicator;
  sent: Append[];
  setTime: (ms: number) => void;
}> {
  let now = 0;
  const sent: Append[] = [];
  const disk = new ManualSyncDisk();
  const log = new ReplicaLog(disk, "g");
  const send = (_id: string, body: BodyInit): void => {
    if (body.case === "append") sent.push(create(AppendSchema, body.value));
  };
  const replicator = new LogReplicator({
    log,
    clock: { ...clock, now: () => now },
    self: "a",
    term: 2,
    commit: 0,
    send,
  });
  replicator.setMembers([["a", "b", "c"]], []);
  void log.append([entry(1, 2)]).then(() => replicator.sendNewEntries());
  await disk.sync();
  for (const id of ["b", "c"]) replicator.handleReply(reply(id, 1));
  sent.length = 0;
  return { log, replicator, sent, setTime: (ms) => (now = ms) };
}

/** The replies of replicas that have synced entries up to an index and are still syncing later ones. */
const repliesOf = (sent: readonly Append[], synced: number): AppendReply[] =>
  sent
    .filter(({ prevIndex, entries }) => prevIndex + entries.length <= synced)
    .map(({ receiver, prevIndex, entries, round }) =>
      create(AppendReplySchema, { ...reply(receiver, prevIndex + entries.length), round }),
    );

test("a read is confirmed by the other replicas while they are still syncing entries", async () => {
  const { log, replicator, sent } = await leaderWithSyncedEntry();
  void log.append([entry(2, 2)]);
  replicator.sendNewEntries();
  let isConfirmed = false;
  void replicator.confirmLeadership().then((outcome) => (isConfirmed = outcome));
  for (const answer of repliesOf(sent, 1)) replicator.handleReply(answer);
  await new Promise((resolve) => setImmediate(resolve));
  expect([isConfirmed, replicator.commit]).toEqual([true, 1]);
});

test("a reply to a heartbeat does not acknowledge entries: nothing is sent again or committed", async () => {
  const { log, replicator, sent } = await leaderWithSyncedEntry();
  void log.append([entry(2, 2)]);
  replicator.sendNewEntries();
  void replicator.confirmLeadership();
  const before = sent.length;
  for (const answer of repliesOf(sent, 1)) replicator.handleReply(answer);
  expect([replicator.commit, sent.length]).toEqual([1, before]);
  void log.append([entry(3, 2)]);
  replicator.sendNewEntries();
  expect(sent.length).toEqual(before);
  for (const answer of repliesOf(sent, 2)) replicator.handleReply(answer);
  expect(sent.slice(before).map(({ entries }) => entries.map(({ index }) => index))).toEqual([[3], [3]]);
});

test("slow disks of the replicas do not raise the reply time, late replies to heartbeats do", async () => {
  const { log, replicator, sent, setTime } = await leaderWithSyncedEntry();
  void log.append([entry(2, 2)]);
  replicator.sendNewEntries();
  for (let ms = 75; ms <= 750; ms += 75) {
    setTime(ms);
    sent.length = 0;
    replicator.sendHeartbeatsToSyncing();
    setTime(ms + 20);
    for (const answer of repliesOf(sent, 1)) replicator.handleReply(answer);
  }
  expect(replicator.majorityReplyMs).toEqual(20);
  sent.length = 0;
  replicator.sendHeartbeatsToSyncing();
  setTime(1270);
  expect(replicator.majorityReplyMs).toEqual(500);
  for (const answer of repliesOf(sent, 1)) replicator.handleReply(answer);
  expect(replicator.majorityReplyMs).toEqual(500);
});

test("a commit notice commits only entries up to where this log matches the log of the term's leader", async () => {
  const commits: number[] = [];
  const log = new ReplicaLog(new ManualSyncDisk(), "g");
  const follower = new FollowerLog({
    log,
    self: "b",
    onCommit: (index) => commits.push(index),
    onSnapshot: () => undefined,
  });
  const take = (term: number, entries: Entry[], prevIndex = 0, prevTerm = 0): void =>
    void follower.handleAppend(
      create(AppendSchema, { group: "g", term, sender: "a", receiver: "b", prevIndex, prevTerm, entries }),
      0,
    );
  take(2, [entry(1, 2), entry(2, 2), entry(3, 2)]);
  commits.length = 0;
  follower.onHeartbeatReply(2, 2);
  follower.onHeartbeatReply(2, 9);
  follower.onHeartbeatReply(1, 3);
  follower.onHeartbeatReply(2, NaN);
  expect(commits).toEqual([2, 3]);
  // The logs are known to match the next leader's up to index 1 only; entries 2 and 3 may not be in its log.
  take(3, [], 1, 2);
  commits.length = 0;
  follower.onHeartbeatReply(2, 3);
  follower.onHeartbeatReply(3, 3);
  expect(commits).toEqual([1]);
});

test("a replica that has all committed entries is notified once, by an append if one is sent anyway", async () => {
  const disk = new ManualSyncDisk();
  const log = new ReplicaLog(disk, "g");
  const replicator = new LogReplicator({ log, clock, self: "a", term: 2, commit: 0, send: () => undefined });
  replicator.setMembers([["a", "b", "c"]], []);
  void log.append([entry(1, 2)]).then(() => replicator.sendNewEntries());
  await disk.sync();
  expect(replicator.takeUnnotified()).toEqual([]);
  replicator.handleReply(reply("b", 1));
  expect(replicator.takeUnnotified()).toEqual(["b", "c"]);
  expect(replicator.takeUnnotified()).toEqual([]);
  void log.append([entry(2, 2)]).then(() => replicator.sendNewEntries());
  await disk.sync();
  replicator.handleReply(reply("b", 2));
  replicator.sendHeartbeats();
  expect(replicator.takeUnnotified()).toEqual([]);
});

// Guards against Acks (review/6): a leader took publishes for replicas whose disks had no room for them.
test("a replica without room is sent heartbeats only, and counts as one without room for publishes", async () => {
  const disk = new ManualSyncDisk();
  const log = new ReplicaLog(disk, "g");
  const sent: Array<[string, number]> = [];
  const send = (id: string, body: BodyInit): void =>
    void (body.case === "append" && sent.push([id, body.value.entries?.length ?? 0]));
  const replicator = new LogReplicator({ log, clock, self: "a", term: 2, commit: 0, send });
  replicator.setMembers([["a", "b", "c"]], []);
  expect([replicator.hasMajorityWithRoom(0), replicator.hasReplicaOutOfRoom]).toEqual([true, false]);
  const append = async (index: number): Promise<void> => {
    void log.append([entry(index, 2)]).then(() => replicator.sendNewEntries());
    replicator.sendNewEntries();
    await disk.sync();
  };
  await append(1);
  const full = { ...reply("b", 0), isShortOfRoom: true, isOutOfRoom: true };
  replicator.handleReply(full);
  replicator.handleReply(reply("c", 1));
  expect([replicator.commit, replicator.hasMajorityWithRoom(0), replicator.hasReplicaOutOfRoom]).toEqual([
    1,
    true,
    true,
  ]);
  sent.length = 0;
  await append(2);
  replicator.sendHeartbeats();
  expect(sent.filter(([id]) => id === "b")).toEqual([["b", 0]]);
  replicator.handleReply({ ...reply("c", 2), isShortOfRoom: true });
  expect(replicator.hasMajorityWithRoom(0)).toEqual(false);
  sent.length = 0;
  replicator.handleReply(reply("b", 0));
  expect([sent, replicator.hasMajorityWithRoom(0)]).toEqual([[["b", 2]], true]);
});

test("a replica that was silent for too long is not counted on for publishes", () => {
  let now = 0;
  const log = new ReplicaLog(new ManualSyncDisk(), "g");
  const movingClock = { ...clock, now: () => now };
  const replicator = new LogReplicator({
    log,
    clock: movingClock,
    self: "a",
    term: 2,
    commit: 0,
    send: () => undefined,
  });
  replicator.setMembers([["a", "b", "c"]], []);
  now = 3000;
  expect(replicator.hasMajorityWithRoom(3000)).toEqual(true);
  now = 3001;
  expect(replicator.hasMajorityWithRoom(3000)).toEqual(false);
  replicator.handleReply(reply("c", 0));
  expect(replicator.hasMajorityWithRoom(3000)).toEqual(true);
});
