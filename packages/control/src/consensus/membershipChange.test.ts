import { test } from "node:test";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { EntrySchema, MembersSchema, type StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";
import { expect } from "earl";
import { entryKind } from "./storeLog.js";
import { MemberExchange } from "./membershipChange.js";
import { MemberLog } from "./memberLog.js";

const list = (letters: string): StoreMember[] =>
  [...letters].map((id) => ({ id, name: `machine-${id}` }) as StoreMember);
const letters = (members: readonly StoreMember[]): string => members.map((one) => one.id).join("");

/** A leader's log whose first configuration is {a,b,x}, and each configuration that it proposes. */
async function leader() {
  const disk = { read: () => [], write: () => Promise.resolve() };
  const log = new ReplicaLog(disk, "store");
  const memberLog = new MemberLog(log);
  const append = async (data: Uint8Array): Promise<void> => {
    const entry = create(EntrySchema, { index: log.lastIndex + 1, term: 1, kind: entryKind.members, data });
    const written = log.append([entry]);
    memberLog.look();
    await written;
  };
  await append(toBinary(MembersSchema, create(MembersSchema, { voters: list("abx") })));
  const proposed: string[] = [];
  const exchange = new MemberExchange(memberLog, new LogBuffer("a", () => undefined), (data) => {
    const { voters, oldVoters, learners } = fromBinary(MembersSchema, data);
    proposed.push(`${letters(oldVoters)} ${letters(voters)} ${letters(learners)}`);
    void append(data);
  });
  return { exchange, proposed };
}

test("voters are exchanged in two steps, each begun once the one before is committed", async () => {
  const { exchange, proposed } = await leader();
  exchange.begin(1, list("abx"), list("n"));
  expect(proposed).toEqual([" abx n"]);
  exchange.begin(1, list("abn"), []);
  expect(proposed.length).toEqual(1);
  exchange.begin(2, list("abn"), []);
  expect(proposed.at(-1)).toEqual("abx abn ");
  exchange.end(2);
  expect(proposed.length).toEqual(2);
  exchange.begin(3, list("ab"), []);
  expect(proposed.length).toEqual(2);
  exchange.end(3);
  expect(proposed.at(-1)).toEqual(" abn ");
  expect([exchange.isSettled(3), exchange.isSettled(4)]).toEqual([false, true]);
  exchange.end(4);
  expect(proposed.length).toEqual(3);
});

test("who votes before, meanwhile or after a change counts until the change is committed", async () => {
  const { exchange } = await leader();
  const voting = (commit: number): string => [...new Set(letters(exchange.voting(commit)))].sort().join("");
  exchange.begin(1, list("abn"), []);
  expect([voting(1), voting(2)]).toEqual(["abnx", "abnx"]);
  exchange.end(2);
  expect([voting(2), voting(3)]).toEqual(["abnx", "abn"]);
});

test("nobody is put into a set twice, and no set is empty", async () => {
  const { exchange, proposed } = await leader();
  for (const voters of [list("abb"), []]) exchange.begin(1, voters, []);
  expect(proposed).toEqual([]);
});
