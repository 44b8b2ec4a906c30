import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { EntrySchema, MembersSchema, VoteReplySchema, VoteSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { Disk, DiskChange } from "@cranetrack/core/storage/disk.js";
import { Election, mayGrantVote } from "./election.js";

/** Keeps what it is told to, at once. */
function keepingDisk(): Disk {
  const kept = new Map<string, Uint8Array>();
  return {
    read: (prefix) =>
      [...kept]
        .filter(([key]) => key.startsWith(prefix))
        .sort(([a], [b]) => (a < b ? -1 : 1))
        .map(([key, value]) => ({ key, value })),
    write: (changes: DiskChange[]) => {
      for (const change of changes)
        if ("isRemoved" in change) kept.delete(change.key);
        else kept.set(change.key, change.value);
      return Promise.resolve();
    },
  };
}

/** A log with entries of the terms 1, 1, 2, 2 whose node has voted for `x` in term 5. */
async function voter(disk = keepingDisk()): Promise<ReplicaLog> {
  const log = new ReplicaLog(disk, "store");
  await log.append([1, 1, 2, 2].map((term, i) => create(EntrySchema, { index: i + 1, term })));
  await log.promise(5, "x");
  return log;
}

const asked = (
  term: number,
  candidate: string,
  lastTerm: number,
  lastIndex: number,
  isPre = false,
): Parameters<typeof mayGrantVote>[0] => create(VoteSchema, { term, candidate, lastTerm, lastIndex, isPre });

test("a vote goes to a log that is at least as new: by its last term first, then by its length", async () => {
  const log = await voter();
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
      expect(mayGrantVote(asked(6, "y", lastTerm, lastIndex, isPre), log, false)).toEqual(isGranted);
});

test("a term has one vote, also after a restart, and a lower term none", async () => {
  const disk = keepingDisk();
  await voter(disk);
  const again = new ReplicaLog(disk, "store");
  expect([again.term, again.vote]).toEqual([5, "x"]);
  expect(mayGrantVote(asked(5, "y", 2, 4), again, false)).toEqual(false);
  expect(mayGrantVote(asked(5, "x", 2, 4), again, false)).toEqual(true);
  expect(mayGrantVote(asked(4, "x", 2, 4), again, false)).toEqual(false);
});

test("a log behind a snapshot is compared by the snapshot's last entry", async () => {
  const disk = keepingDisk();
  await (await voter(disk)).compact(4, new Uint8Array([1]));
  const again = new ReplicaLog(disk, "store");
  expect([again.lastTerm, again.lastIndex]).toEqual([2, 4]);
  expect(mayGrantVote(asked(6, "y", 2, 3), again, false)).toEqual(false);
  expect(mayGrantVote(asked(6, "y", 2, 4), again, false)).toEqual(true);
});

test("nobody gets a vote while a leader is heard", async () => {
  const log = await voter();
  expect(mayGrantVote(asked(9, "y", 9, 99), log, true)).toEqual(false);
});

const electionMs = 300;
const members = create(MembersSchema, { voters: ["a", "b", "c"].map((id) => ({ id, name: `machine-${id}` })) });
const granted = (voter: string, term: number, isPre: boolean) =>
  create(VoteReplySchema, { voter, term, isPre, isGranted: true });

/** The election state of member `a`, whose timeouts are always the shortest, at a clock that is set. */
function electionOfA(): { election: Election; clock: { ms: number } } {
  const clock = { ms: 0 };
  const seam: Pick<Clock, "now"> = { now: () => clock.ms };
  return { election: new Election("a", seam as Clock, { draw: () => 0, identity: () => "" }, electionMs), clock };
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

test("a campaign that has ended, by a vote for another or a leader that is heard, wins no more", () => {
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

test("a member campaigns once its timeout is over, unless it hears a leader, stands by or has resigned", () => {
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

test("after a yield members campaign in turn, and the leader's term is followed no more", () => {
  const { election, clock } = electionOfA();
  election.onLeaderHeard("b");
  clock.ms = 100;
  election.onLeaderYielded(4);
  election.waitForTurn(1);
  expect([election.leaderId, election.hasYielded(4), election.hasYielded(5)]).toEqual(["", true, false]);
  const turn = 100 + Election.turnMs;
  expect([election.isTimedOut(turn - 1), election.isTimedOut(turn)]).toEqual([false, true]);
});
