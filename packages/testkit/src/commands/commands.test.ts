import { spawnSync } from "node:child_process";
import { describe, it } from "node:test";
import { expect } from "earl";
import { nearestName } from "../names/knownName.js";
import { programPath } from "./sharedOptions.js";

function run(...args: string[]): { status: number | null; out: string; errors: string } {
  const { status, stdout, stderr } = spawnSync(process.execPath, [programPath, ...args], { encoding: "utf8" });
  return { status, out: stdout, errors: stderr };
}

describe("an unknown name", () => {
  const cases: ReadonlyArray<readonly [args: string[], nearest: string, another: string]> = [
    [["mutnats"], 'no command "mutnats"; did you mean "mutants"?', "explore"],
    [["fleet", "adwn"], 'no deployment "adwn"; did you mean "adwen"?', "reefline"],
    [["load", "reeflin"], 'no deployment "reeflin"; did you mean "reefline"?', "small"],
    [["drill", "small", "--only", "kill,freze"], 'no drill "freze"; did you mean "freeze"?', "blackout"],
    [["drill", "small", "--targets", "edg"], 'no target "edg"; did you mean "edge"?', "proposer"],
    [["soak", "small", "--profile", "disk"], 'no profile "disk"; did you mean "disks"?', "any"],
    [["sim", "--seeds", "1", "--faults", "kill,wip"], 'no fault "wip"; did you mean "wipe"?', "coreCutOneWay"],
    [["explore", "--profiles", "restart"], 'no profile "restart"; did you mean "restarts"?', "frozen"],
    [["explore", "--search", "al"], 'no scenario "al"; did you mean "all"?', "all"],
    [["slope", "fed"], 'no slope "fed"; did you mean "feed"?', "gossipYoung"],
  ];
  for (const [args, nearest, another] of cases)
    it(`${args.join(" ")}: exit 2, the nearest known name and the list`, () => {
      const { status, out, errors } = run(...args);
      expect([status, out]).toEqual([2, ""]);
      expect(errors.includes(nearest)).toEqual(true);
      expect(errors.split("Known: ")[1]!.trim().split(", ").includes(another)).toEqual(true);
    });
});

describe("the command line", () => {
  it("accepts the old name of mutants and prints the new one on one line", () => {
    const { status, errors } = run("sabotage", "--only", "no guard is called this");
    const lines = errors.trim().split("\n");
    expect(lines[0]).toEqual("cranetrack-lab sabotage is now called cranetrack-lab mutants");
    expect([status, lines.length]).toEqual([2, 2]);
  });

  it("prints its commands and exits 2 if none is given", () => {
    const { status, out } = run();
    expect([status, out.includes("mutants"), out.includes("sabotage")]).toEqual([2, true, false]);
  });

  it("shows an example in each command's help", () => {
    for (const command of ["fleet", "load", "drill", "soak", "sim", "explore", "catch-up", "cost", "slope"])
      expect(run(command, "--help").out.includes(`cranetrack-lab ${command} `)).toEqual(true);
    for (const command of ["capacity", "mutants"])
      expect(run(command, "--help").out.includes(`cranetrack-lab ${command} --`)).toEqual(true);
  });
});

describe("the nearest name", () => {
  it("is the one with the smallest edit distance, the first of several", () => {
    expect(nearestName("kil", ["wipe", "kill", "kilt"])).toEqual("kill");
    expect(nearestName("x", [])).toEqual(undefined);
  });
});
