import { test } from "node:test";
import type { StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";
import { expect } from "earl";
import { chooseVoters } from "./voterChoice.js";

/** One member for each letter; the capital letter is the same machine with another disk. */
const membersOf = (letters: string): StoreMember[] =>
  [...letters].map((id) => ({ id, name: `machine-${id.toLowerCase()}` }) as StoreMember);

interface Case {
  voters: string;
  ready?: string;
  wanted?: number;
  lost?: string;
  draining?: string;
  /** Voters that share one zone, by letter; every other machine has its own zone. */
  zones?: string;
  next: string;
}

const cases: Case[] = [
  { voters: "abc", next: "abc" },
  { voters: "abc", ready: "n", next: "abc" },
  { voters: "abx", lost: "x", next: "abx" },
  { voters: "abx", lost: "x", ready: "n", next: "abn" },
  { voters: "abx", lost: "x", ready: "X", next: "abX" },
  { voters: "axy", lost: "xy", ready: "Y", next: "axY" },
  { voters: "abcxy", wanted: 5, lost: "xy", ready: "nm", next: "abcnm" },
  { voters: "abcxy", wanted: 5, lost: "xy", ready: "n", next: "abcyn" },
  { voters: "abc", wanted: 5, ready: "nm", next: "abcnm" },
  { voters: "abx", wanted: 5, lost: "x", ready: "n", next: "abn" },
  { voters: "abc", draining: "a", next: "abc" },
  { voters: "abc", draining: "a", ready: "n", next: "bcn" },
  { voters: "abc", draining: "a", lost: "c", ready: "n", next: "abn" },
  { voters: "abcd", next: "abc" },
  { voters: "abcd", lost: "b", next: "acd" },
  { voters: "abcd", zones: "ab", next: "acd" },
  { voters: "abcd", draining: "a", next: "bcd" },
];

for (const { voters, ready = "", wanted = 3, lost = "", draining = "", zones = "", next } of cases)
  test(`${voters}, ready ${ready}, lost ${lost}, draining ${draining}: ${next}`, () => {
    const chosen = chooseVoters({
      voters: membersOf(voters),
      readyLearners: membersOf(ready),
      wantedCount: wanted,
      selfId: "a",
      isLost: (member) => lost.includes(member.id),
      isLeaving: (member) => draining.includes(member.id),
      zoneOf: (member) => (zones.includes(member.id) ? "shared" : member.name),
    });
    expect(chosen.map((member) => member.id).join("")).toEqual(next);
  });
