import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { expect } from "earl";
import { SettingsReader, type Settings } from "./settings.js";
import { SettingsWatch } from "./settingsWatch.js";

const good = {
  name: "vise-1",
  role: "vise",
  zone: "north",
  address: "127.0.0.1:7001",
  http: "127.0.0.1:8001",
  seeds: ["127.0.0.1:7001"],
  lathes: 3,
};
const problemsOf = (value: unknown): string[] => {
  const read = SettingsReader.check(value);
  return "problems" in read ? read.problems : [];
};

test("good settings pass with their defaults; every wrong one is named", () => {
  const read = SettingsReader.check(good) as { settings: Settings };
  expect(read.settings.edgeLeaseMs).toEqual(1500);
  expect(read.settings.replicas).toEqual(3);
  expect(problemsOf({ ...good, replicas: 4 })).toEqual(["replicas: must be odd; an even set survives no more losses"]);
  expect(problemsOf({ ...good, colour: "red" })[0]).toEqual("colour: colour must be removed");
  expect(problemsOf({ ...good, role: "lathe" })).toEqual(["data: a lathe needs a data folder"]);
  expect(problemsOf({ ...good, http: good.address })).toEqual(["http: must differ from address"]);
  expect(problemsOf({ ...good, address: "127.0.0.1:70000" })).toEqual(["address: the port is above 65535"]);
  expect(problemsOf({ ...good, seeds: [], lathes: 0 }).length).toEqual(2);
  for (const key of Object.keys(good)) expect(problemsOf({ ...good, [key]: undefined }).length > 0).toEqual(true);
});

test("as many control nodes vote as found the store, named or not, where the settings do not say otherwise", () => {
  const voters = (more: object): number =>
    (SettingsReader.check({ ...good, ...more }) as { settings: Settings }).settings.voters;
  const founders = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5"];
  expect([voters({}), voters({ founders }), voters({ founders, voters: 1 })]).toEqual([3, 5, 1]);
  expect(problemsOf({ ...good, stores: true })).toEqual(["stores: is for lathes only"]);
});

test("a changed file is taken up, a bad one changes nothing and is said, and what needs a start is said", () => {
  const path = join(mkdtempSync(join(tmpdir(), "cranetrack-settings-")), "s.json");
  const write = (value: unknown): void =>
    writeFileSync(path, typeof value === "string" ? value : JSON.stringify(value));
  write(good);
  const read = SettingsReader.fromFile(path) as { settings: Settings };
  const beats: Array<() => void> = [];
  const clock = {
    now: () => 0,
    once: () => ({ stop: () => undefined }),
    every: (_ms: number, ring: () => void) => (beats.push(ring), { stop: () => undefined }),
  };
  const watch = new SettingsWatch(path, () => SettingsReader.fromFile(path), read.settings, clock);
  const taken: number[] = [];
  watch.on("changed", (settings) => taken.push(settings.maxConnections));
  write({ ...good, mostLinks: 5 });
  beats[0]!();
  expect(taken).toEqual([5]);
  write("{ broken");
  beats[0]!();
  expect(taken).toEqual([5]);
  expect(watch.fault).toEqual(expect.includes("the old settings stay"));
  write({ ...good, mostLinks: 6, zone: "south" });
  beats[0]!();
  expect(taken).toEqual([5, 6]);
  expect(watch.fault).toEqual("changed in the file and taken up only at the next start: zone");
  beats[0]!();
  expect(taken).toEqual([5, 6]);
});
