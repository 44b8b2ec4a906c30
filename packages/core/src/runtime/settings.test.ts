import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { expect } from "earl";
import { SettingsReader, type Settings } from "./settings.js";
import { SettingsWatch } from "./settingsWatch.js";

const good = {
  name: "edge-1",
  role: "edge",
  zone: "north",
  address: "127.0.0.1:7001",
  http: "127.0.0.1:8001",
  seeds: ["127.0.0.1:7001"],
  controlNodes: 3,
};
const problemsOf = (value: unknown): string[] => {
  const read = SettingsReader.check(value);
  return "problems" in read ? read.problems : [];
};

test("valid settings pass with their defaults; every invalid one is named", () => {
  const read = SettingsReader.check(good) as { settings: Settings };
  expect(read.settings.edgeLeaseMs).toEqual(1500);
  expect(read.settings.replicas).toEqual(3);
  expect(problemsOf({ ...good, replicas: 4 })).toEqual(["replicas: must be odd; an even set survives no more losses"]);
  expect(problemsOf({ ...good, colour: "red" })[0]).toEqual("colour: colour must be removed");
  expect(problemsOf({ ...good, role: "control" })).toEqual(["data: a control node needs a data folder"]);
  expect(problemsOf({ ...good, http: good.address })).toEqual(["http: must differ from address"]);
  expect(problemsOf({ ...good, address: "127.0.0.1:70000" })).toEqual(["address: the port is above 65535"]);
  expect(problemsOf({ ...good, seeds: [], controlNodes: 0 }).length).toEqual(2);
  for (const key of Object.keys(good)) expect(problemsOf({ ...good, [key]: undefined }).length > 0).toEqual(true);
});

const readWith = (value: unknown): { read: ReturnType<typeof SettingsReader.check>; notices: string[] } => {
  const notices: string[] = [];
  return { read: SettingsReader.check(value, (notice) => notices.push(notice)), notices };
};

for (const [name, stored] of [
  ["control", "lathe"],
  ["storage", "anvil"],
  ["edge", "vise"],
] as const)
  test(`role ${name} is ${stored} between nodes, and settings still accept ${stored}, with a notice`, () => {
    const now = readWith({ ...good, role: name, data: "folder" });
    const earlier = readWith({ ...good, role: stored, data: "folder" });
    expect((now.read as { settings: Settings }).settings.role).toEqual(stored);
    expect(earlier.read).toEqual(now.read);
    expect(now.notices).toEqual([]);
    expect(earlier.notices).toEqual([`role ${stored} is now called ${name}; the earlier name is still accepted`]);
  });

test("an unknown or missing role is rejected with a list of the known ones", () => {
  const known = ['"control"', '"storage"', '"edge"'];
  for (const role of ["anvils", "Control", 3, undefined]) {
    const problems = problemsOf({ ...good, role });
    expect(problems.length).toEqual(1);
    for (const one of known) expect(problems[0]).toEqual(expect.includes(one));
    for (const stored of ["lathe", "vise"]) expect(problems[0]).not.toEqual(expect.includes(stored));
  }
});

for (const [earlier, standard, value] of [
  ["lathes", "controlNodes", 3],
  ["holderLeaseMs", "shardLeaseMs", 1700],
  ["mostLinks", "maxConnections", 7],
] as const) {
  const { controlNodes, ...others } = good;
  const rest = standard === "controlNodes" ? others : { ...others, controlNodes };
  test(`${earlier} is still accepted for ${standard}, with a notice that names the new key`, () => {
    const { read, notices } = readWith({ ...rest, [earlier]: value });
    expect(read).toEqual(SettingsReader.check({ ...rest, [standard]: value }));
    expect((read as { settings: Settings }).settings[standard]).toEqual(value);
    expect(notices).toEqual([`setting ${earlier} is now called ${standard}; the earlier name is still accepted`]);
  });

  test(`${earlier} and ${standard} together are rejected; an invalid ${earlier} is reported under that name`, () => {
    expect(problemsOf({ ...rest, [earlier]: value, [standard]: value })).toEqual([
      `${earlier}: is the earlier name of ${standard}, and both are given; keep ${standard}`,
    ]);
    expect(problemsOf({ ...rest, [earlier]: 0 })[0]).toEqual(expect.includes(`${earlier}: ${standard} must be`));
  });
}

test("the number of voters defaults to the number of founders, listed by address or not", () => {
  const voters = (more: object): number =>
    (SettingsReader.check({ ...good, ...more }) as { settings: Settings }).settings.voters;
  const founders = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"];
  expect([voters({}), voters({ founders }), voters({ founders, voters: 1 })]).toEqual([3, 5, 1]);
  expect(problemsOf({ ...good, stores: true })).toEqual(["stores: is for control nodes only"]);
});

test("a changed file is applied; an invalid one is only reported, as are changes that need a restart", () => {
  const path = join(mkdtempSync(join(tmpdir(), "cranetrack-settings-")), "s.json");
  const write = (value: unknown): void =>
    writeFileSync(path, typeof value === "string" ? value : JSON.stringify(value));
  write(good);
  const read = SettingsReader.fromFile(path) as { settings: Settings };
  const ticks: Array<() => void> = [];
  const clock = {
    now: () => 0,
    once: () => ({ stop: () => undefined }),
    every: (_ms: number, callback: () => void) => (ticks.push(callback), { stop: () => undefined }),
  };
  const watch = new SettingsWatch(path, () => SettingsReader.fromFile(path), read.settings, clock);
  const taken: number[] = [];
  watch.on("changed", (settings) => taken.push(settings.maxConnections));
  write({ ...good, maxConnections: 5 });
  ticks[0]!();
  expect(taken).toEqual([5]);
  write("{ broken");
  ticks[0]!();
  expect(taken).toEqual([5]);
  expect(watch.fault).toEqual(expect.includes("the old settings stay"));
  write({ ...good, maxConnections: 6, zone: "south" });
  ticks[0]!();
  expect(taken).toEqual([5, 6]);
  expect(watch.fault).toEqual("changed in the file and taken up only at the next start: zone");
  ticks[0]!();
  expect(taken).toEqual([5, 6]);
});
