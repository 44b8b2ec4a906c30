import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { EntrySchema, MembersSchema, VoteReplySchema, VoteSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { Disk, DiskChange } from "@cranetrack/core/storage/disk.js";
import { Election, mayGrantVote } from "./election.js";

/** A disk in memory whose writes take effect immediately. */
function memoryDisk(): Disk {
  const stored = new Map<string, Uint8Array>();
  return {
    read: (prefix) =>
      [...stored]
        .filter(([key]) => key.startsWith(prefix))
        .sort(([a], [b]) => (a < b ? -1 : 1))
        .map(([key, value]) => ({ key, value })),
    write: (changes: DiskChange[]) => {
      for (const change of changes)
        if ("isRemoved" in change) stored.delete(change.key);
        else stored.set(change.key, change.value);
      return Promise.resolve();
    },
  };
}

/** A log with entries of the terms 1, 1, 2 and 2, whose node has voted for `x` in term 5. */
async function logOfVoter(disk = memoryDisk()): Promise<ReplicaLog> {
  const log = new ReplicaLog(disk, "store");
  await log.append([1, 1, 2, 2].map((term, i) => create(EntrySchema, { index: i + 1, term })));
  await log.saveTermAndVote(5, "x");
  return log;
}

const voteRequest = (
  term: number,
  candidate: string,
  lastTerm: number,
  lastIndex: number,
  isPre = false,
): Parameters<typeof mayGrantVote>[0] => create(VoteSchema, { term, candidate, lastTerm, lastIndex, isPre });

test("a vote is granted to a log that is at least as up to date: by its last term, then by its length", async () => {
  const log = await logOfVoter();
  const cases: Array<[lastTerm: number, lastIndex: number, isGranted: boolean]> = [
    [2, 4, true],
    [2, 5, true],
    [3, 1, true],
    [2, 3, false],
    [1, 4, false],
    [1, 99, false],
    [0, 0, false],
  ];
  for (const [lastTerm, lastIndex, isGranted] of cases)
    for (const isPre of [false, true])
      expect(mayGrantVote(voteRequest(6, "y", lastTerm, lastIndex, isPre), log, false)).toEqual(isGranted);
});

test("a member votes once per term, also across a restart, and never in a lower term", async () => {
  const disk = memoryDisk();
  await logOfVoter(disk);
  const reopenedLog = new ReplicaLog(disk, "store");
  expect([reopenedLog.term, reopenedLog.vote]).toEqual([5, "x"]);
  expect(mayGrantVote(voteRequest(5, "y", 2, 4), reopenedLog, false)).toEqual(false);
  expect(mayGrantVote(voteRequest(5, "x", 2, 4), reopenedLog, false)).toEqual(true);
  expect(mayGrantVote(voteRequest(4, "x", 2, 4), reopenedLog, false)).toEqual(false);
});

test("a log that is compacted into a snapshot is compared by the snapshot's last entry", async () => {
  const disk = memoryDisk();
  await (await logOfVoter(disk)).compact(4, new Uint8Array([1]));
  const reopenedLog = new ReplicaLog(disk, "store");
  expect([reopenedLog.lastTerm, reopenedLog.lastIndex]).toEqual([2, 4]);
  expect(mayGrantVote(voteRequest(6, "y", 2, 3), reopenedLog, false)).toEqual(false);
  expect(mayGrantVote(voteRequest(6, "y", 2, 4), reopenedLog, false)).toEqual(true);
});

test("no vote is granted while the member has a leader", async () => {
  const log = await logOfVoter();
  expect(mayGrantVote(voteRequest(9, "y", 9, 99), log, true)).toEqual(false);
});

const electionMs = 300;
const members = create(MembersSchema, { voters: ["a", "b", "c"].map((id) => ({ id, name: `machine-${id}` })) });
const granted = (voter: string, term: number, isPre: boolean) =>
  create(VoteReplySchema, { voter, term, isPre, isGranted: true });

/** The election state of member `a`, whose timeouts are always the shortest, with a clock that the test sets. */
function electionOfA(): { election: Election; clock: { ms: number } } {
  const clock = { ms: 0 };
  const clockStub: Pick<Clock, "now"> = { now: () => clock.ms };
  return { election: new Election("a", clockStub as Clock, { draw: () => 0, identity: () => "" }, electionMs), clock };
}

test("only granted votes of the campaign's term and phase count, and each voter once", () => {
  const { election } = electionOfA();
  election.startCampaign(4, false);
  const refused = create(VoteReplySchema, { voter: "b", term: 4, isGranted: false });
  for (const reply of [granted("b", 3, false), granted("b", 4, true), refused])
    expect([election.recordVote(reply), election.hasMajority(members)]).toEqual([false, false]);
  expect([election.recordVote(granted("a", 4, false)), election.hasMajority(members)]).toEqual([true, false]);
  expect([election.recordVote(granted("b", 4, false)), election.hasMajority(members)]).toEqual([true, true]);
});

test("a campaign that has ended, by a vote for another member or by a leader's message, can't be won", () => {
  for (const end of [
    (election: Election) => election.endCampaign(),
    (election: Election) => election.onLeaderHeard("c"),
  ]) {
    const { election } = electionOfA();
    election.startCampaign(4, false);
    end(election);
    election.recordVote(granted("b", 4, false));
    expect([election.isCandidate(4), election.hasMajority(members)]).toEqual([false, false]);
  }
});

test("a member campaigns after its timeout unless a leader contacts it, it is a standby or it has resigned", () => {
  const { election, clock } = electionOfA();
  election.resetTimer();
  expect([election.isTimedOut(electionMs - 1), election.isTimedOut(electionMs)]).toEqual([false, true]);
  clock.ms = 200;
  expect([election.onLeaderHeard("b"), election.onLeaderHeard("b"), election.leaderId]).toEqual([true, false, "b"]);
  expect([election.isTimedOut(499), election.isTimedOut(500)]).toEqual([false, true]);
  election.standBy();
  expect(election.isTimedOut(500)).toEqual(false);
  election.endStandby();
  expect(election.isTimedOut(500)).toEqual(true);
  election.resign();
  expect(election.isTimedOut(500)).toEqual(false);
});

test("after a leader yields, members campaign in turn and ignore later messages of the leader's term", () => {
  const { election, clock } = electionOfA();
  election.onLeaderHeard("b");
  clock.ms = 100;
  election.onLeaderYielded(4);
  election.waitForTurn(1);
  expect([election.leaderId, election.isTermYielded(4), election.isTermYielded(5)]).toEqual(["", true, false]);
  const turn = 100 + Election.campaignStaggerMs;
  expect([election.isTimedOut(turn - 1), election.isTimedOut(turn)]).toEqual([false, true]);
});
