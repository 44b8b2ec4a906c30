import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { MembersSchema, type Members, type StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";
import { expect } from "earl";
import { VoterSets } from "./voterSets.js";

const membersOf = (names: string): StoreMember[] =>
  [...names].map((name) => ({ id: name, name: `machine-${name}` }) as StoreMember);
const configuration = (voters: string, oldVoters = "", learners = ""): Members =>
  create(MembersSchema, { voters: membersOf(voters), oldVoters: membersOf(oldVoters), learners: membersOf(learners) });

test("a majority needs one of every set, and learners don't count", () => {
  const cases: Array<[voters: string, oldVoters: string, learners: string, granted: string, isMajority: boolean]> = [
    ["abc", "", "n", "ab", true],
    ["abc", "", "n", "an", false],
    ["abn", "abx", "", "ab", true],
    ["abn", "abx", "", "an", false],
    ["abn", "abx", "", "bx", false],
    ["abn", "abx", "", "anx", true],
    ["abcnm", "abcxy", "", "abc", true],
    ["abcnm", "abcxy", "", "anm", false],
    ["abcnm", "abcxy", "", "axy", false],
    ["a", "abc", "", "a", false],
    ["abc", "a", "", "bc", false],
  ];
  for (const [voters, oldVoters, learners, granted, isMajority] of cases)
    expect({
      voters,
      oldVoters,
      granted,
      isMajority: VoterSets.isMajority(configuration(voters, oldVoters, learners), new Set(granted)),
    }).toEqual({ voters, oldVoters, granted, isMajority });
});

test("voters of both sets vote once each; a set with a disk or machine twice is invalid", () => {
  const joint = configuration("abn", "abx", "l");
  expect(
    VoterSets.allVoters(joint)
      .map((member) => member.id)
      .sort()
      .join(""),
  ).toEqual("abnx");
  expect(["n", "x", "l"].map((id) => VoterSets.isVoter(joint, id))).toEqual([true, true, false]);
  const twins = [
    { id: "a", name: "one" },
    { id: "b", name: "one" },
  ] as StoreMember[];
  expect([membersOf("abc"), membersOf("aab"), twins, []].map((voters) => VoterSets.isValidSet(voters))).toEqual([
    true,
    false,
    false,
    false,
  ]);
});
