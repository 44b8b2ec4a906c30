import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { KvSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { StoreOutcome } from "@cranetrack/core/store/storeClient.js";
import { expect } from "earl";
import { ConfigurationCheck } from "./configurationCheck.js";

const configurationOf = (revision: number, ...prefixes: string[]): StoreOutcome => {
  const value = Buffer.from(
    JSON.stringify({ mark: revision, spaces: prefixes.map((name) => ({ name, prefix: name })) }),
  );
  return { outcome: "done", kvs: [create(KvSchema, { key: "plan", value, revision })] };
};

test("whether a topic is unknown depends on the configuration in the store at the time of the question", async () => {
  let read: StoreOutcome = { outcome: "done", kvs: [] };
  const check = new ConfigurationCheck({ read: () => Promise.resolve(read) });
  const codes = async (...topics: string[]): Promise<string[]> =>
    (await Promise.all(topics.map((topic) => check.faultOf(topic)))).map(({ code }) => code);
  expect(await codes("a.x")).toEqual(["unknown-topic"]);
  read = configurationOf(1, "a.", "b.");
  expect(await codes("a.x", "c.x", "a", "b.")).toEqual([
    "unavailable",
    "unknown-topic",
    "unknown-topic",
    "unavailable",
  ]);
  expect(await codes("a.x", "c.x")).toEqual(["unavailable", "unknown-topic"]);
  read = configurationOf(2, "c.");
  expect(await codes("a.x", "c.x")).toEqual(["unknown-topic", "unavailable"]);
  read = { outcome: "away" };
  expect(await codes("a.x", "d.x")).toEqual(["unavailable", "unavailable"]);
  read = { outcome: "done", kvs: [] };
  expect(await codes("c.x")).toEqual(["unknown-topic"]);
});
