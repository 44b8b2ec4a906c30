import { test } from "node:test";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { EntrySchema, MembersSchema, type StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";
import { expect } from "earl";
import { entryKind } from "./storeLog.js";
import { MembershipChange } from "./membershipChange.js";
import { MemberLog } from "./memberLog.js";

const membersOf = (letters: string): StoreMember[] =>
  [...letters].map((id) => ({ id, name: `machine-${id}` }) as StoreMember);
const idsOf = (members: readonly StoreMember[]): string => members.map((member) => member.id).join("");

/** A leader whose log has {a,b,x} as its first configuration, and the list of configurations that it proposes. */
async function makeLeader() {
  const disk = { read: () => [], write: () => Promise.resolve() };
  const log = new ReplicaLog(disk, "store");
  const memberLog = new MemberLog(log);
  const append = async (data: Uint8Array): Promise<void> => {
    const entry = create(EntrySchema, { index: log.lastIndex + 1, term: 1, kind: entryKind.members, data });
    const written = log.append([entry]);
    memberLog.refresh();
    await written;
  };
  await append(toBinary(MembersSchema, create(MembersSchema, { voters: membersOf("abx") })));
  const proposed: string[] = [];
  const change = new MembershipChange(memberLog, new LogBuffer("a", () => undefined), (data) => {
    const { voters, oldVoters, learners } = fromBinary(MembersSchema, data);
    proposed.push(`${idsOf(oldVoters)} ${idsOf(voters)} ${idsOf(learners)}`);
    void append(data);
  });
  return { change, proposed };
}

test("voters change in two steps, each started once the previous configuration is committed", async () => {
  const { change, proposed } = await makeLeader();
  change.begin(1, membersOf("abx"), membersOf("n"));
  expect(proposed).toEqual([" abx n"]);
  change.begin(1, membersOf("abn"), []);
  expect(proposed.length).toEqual(1);
  change.begin(2, membersOf("abn"), []);
  expect(proposed.at(-1)).toEqual("abx abn ");
  change.leaveJoint(2);
  expect(proposed.length).toEqual(2);
  change.begin(3, membersOf("ab"), []);
  expect(proposed.length).toEqual(2);
  change.leaveJoint(3);
  expect(proposed.at(-1)).toEqual(" abn ");
  expect([change.isStable(3), change.isStable(4)]).toEqual([false, true]);
  change.leaveJoint(4);
  expect(proposed.length).toEqual(3);
});

test("voters before, during and after a change are in the electorate until the change is committed", async () => {
  const { change } = await makeLeader();
  const voting = (commit: number): string => [...new Set(idsOf(change.electorate(commit)))].sort().join("");
  change.begin(1, membersOf("abn"), []);
  expect([voting(1), voting(2)]).toEqual(["abnx", "abnx"]);
  change.leaveJoint(2);
  expect([voting(2), voting(3)]).toEqual(["abnx", "abn"]);
});

test("no member is put into a set twice, and no set is empty", async () => {
  const { change, proposed } = await makeLeader();
  for (const voters of [membersOf("abb"), []]) change.begin(1, voters, []);
  expect(proposed).toEqual([]);
});
