import { documentTextOf } from "./documentBuilder.js";
import { test } from "node:test";
import { expect } from "earl";
import { IncarnationsKey, type IncarnationsRecord } from "../keys/incarnationsKey.js";
import type { Order, Configuration } from "./configuration.js";
import { ConfigurationKey } from "../keys/configurationKey.js";
import { ConfigurationReader } from "./configurationReader.js";
import { Streams, type StreamRoute } from "./streams.js";

type Spaces = Record<string, Order>;

/**
 * A configuration and its incarnations after the ones before; each configuration is given as the orders of its
 * prefixes.
 */
class MemoryIncarnation {
  configuration: Configuration | undefined;
  incarnations: IncarnationsRecord | undefined;

  put(version: number, spaces: Spaces): this {
    const contract = { keep: 60, fault_budget: {} };
    const list = Object.entries(spaces).map(([prefix, order], i) => {
      return { name: `s${i}`, prefix, program: [{ when: {}, contract: { ...contract, order } }] };
    });
    const value = Buffer.from(documentTextOf({ version, spaces: list }));
    const read = ConfigurationReader.parse(value.toString());
    this.configuration = "configuration" in read ? read.configuration : undefined;
    const incarnations = IncarnationsKey.next(this.incarnations, ConfigurationKey.outline(value)!);
    this.incarnations = IncarnationsKey.read(IncarnationsKey.write(incarnations));
    return this;
  }

  route(topic: string): StreamRoute | undefined {
    return Streams.route(this.configuration, this.incarnations, topic);
  }

  incarnationOf(stream: string): number | undefined {
    return Streams.spaceIncarnationIn(this.configuration, this.incarnations, stream);
  }
}

test("a topic is a stream of its space's, and under order `space` the whole space is one", () => {
  const incarnation = new MemoryIncarnation().put(1, { "a.": "topic", "b:": "space", "c/": "sender" });
  expect(incarnation.route("a.1:2")).toEqual({ stream: "2:a.1:2", space: "a.", spaceIncarnation: 1 });
  expect(incarnation.route("b:7")).toEqual({ stream: "2:b:", space: "b:", spaceIncarnation: 1 });
  expect(incarnation.route("c/")?.stream).toEqual("2:c/");
  expect(incarnation.route("d/1")).toEqual(undefined);
  expect(["2:a.1:2", "2:b:", "12:constructor/"].map(Streams.spaceOf)).toEqual(["a.", "b:", "constructor/"]);
  expect(["2:a.1:2", "2:b:"].map(Streams.topicOf)).toEqual(["a.1:2", "b:"]);
  expect(["", "x", ":", "99:a", "-1:a"].map(Streams.spaceOf)).toEqual(["", "", "", "a", ""]);
  expect(["2:a.1", "1:a.1", "2:b:", "2:b:7", "2:d/"].map((one) => incarnation.incarnationOf(one))).toEqual([
    1,
    undefined,
    1,
    undefined,
    undefined,
  ]);
});

test("a topic that a longer prefix takes and gives back has another stream or a later incarnation each time", () => {
  const incarnation = new MemoryIncarnation().put(1, { "a/": "topic" });
  const seen: Array<StreamRoute | undefined> = [incarnation.route("a/b/1")];
  seen.push(incarnation.put(5, { "a/": "topic", "a/b/": "topic" }).route("a/b/1"));
  expect([
    incarnation.incarnationOf("2:a/b/1"),
    incarnation.incarnationOf("4:a/b/1"),
    incarnation.incarnationOf("2:a/c"),
  ]).toEqual([undefined, 5, 1]);
  seen.push(incarnation.put(9, { "a/": "topic" }).route("a/b/1"));
  expect([
    incarnation.incarnationOf("2:a/b/1"),
    incarnation.incarnationOf("4:a/b/1"),
    incarnation.incarnationOf("2:a/c"),
  ]).toEqual([9, undefined, 1]);
  seen.push(incarnation.put(12, { "a/": "topic", "a/b/": "topic" }).route("a/b/1"));
  seen.push(incarnation.put(13, { "a/": "topic", "a/b": "topic" }).route("a/b/1"));
  expect(seen.map((one) => [one?.stream, one?.spaceIncarnation])).toEqual([
    ["2:a/b/1", 1],
    ["4:a/b/1", 5],
    ["2:a/b/1", 9],
    ["4:a/b/1", 12],
    ["3:a/b/1", 13],
  ]);
});

test("a space that is one stream begins anew with topics that come back to it", () => {
  const incarnation = new MemoryIncarnation().put(1, { "a/": "space" }).put(5, { "a/": "space", "a/b/": "topic" });
  expect([incarnation.incarnationOf("2:a/"), incarnation.route("a/b/1")?.stream]).toEqual([1, "4:a/b/1"]);
  expect(incarnation.put(9, { "a/": "space" }).route("a/b/1")).toEqual({
    stream: "2:a/",
    space: "a/",
    spaceIncarnation: 9,
  });
});

test("the incarnation of a topic only rises while configurations have it, and changes with its stream", () => {
  const prefixes = ["a", "a/", "a/b", "a/b/", "a/b/c", "constructor", "__proto__"];
  const topics = ["a/b/c/d", "a/b/x", "a/y", "constructor", "__proto__"];
  let state = 7;
  const incarnation = new MemoryIncarnation();
  const last = new Map<string, StreamRoute>();
  for (let version = 1; version <= 2000; version += 1) {
    state = (state * 48271) % 2147483647;
    const orders: Spaces = Object.create(null) as Spaces;
    prefixes.forEach((prefix, i) => {
      if (((state >> i) & 1) === 1) orders[prefix] = i === 1 ? "space" : "topic";
    });
    incarnation.put(version, orders);
    for (const topic of topics) {
      const before = last.get(topic);
      const now = incarnation.route(topic);
      if (now === undefined) continue;
      expect(incarnation.incarnationOf(now.stream)).toEqual(now.spaceIncarnation);
      if (before !== undefined) {
        expect(now.spaceIncarnation >= before.spaceIncarnation).toEqual(true);
        if (now.stream !== before.stream) expect(now.spaceIncarnation > before.spaceIncarnation).toEqual(true);
      }
      last.set(topic, now);
    }
  }
  expect(Object.keys(incarnation.incarnations!.ended).length <= prefixes.length).toEqual(true);
});

test("ended prefixes are bounded: beyond that the space that has their topics is born again", () => {
  const incarnation = new MemoryIncarnation().put(1, { "a/": "topic" });
  for (let i = 0; i <= IncarnationsKey.maxEnded; i += 1)
    incarnation.put(2 * i + 2, { "a/": "topic", [`a/${i}/`]: "topic" }).put(2 * i + 3, { "a/": "topic" });
  const version = 2 * IncarnationsKey.maxEnded + 3;
  expect([incarnation.route("a/0/x")?.spaceIncarnation, incarnation.route("a/1/x")?.spaceIncarnation]).toEqual([
    version,
    version,
  ]);
  incarnation.put(version + 1, { "a/": "topic" });
  expect(Object.keys(incarnation.incarnations!.ended)).toEqual([]);
});

test("incarnations under keys that objects have by nature, and bytes that are no incarnations", () => {
  const incarnation = new MemoryIncarnation().put(
    3,
    JSON.parse(`{"constructor":"topic","__proto__":"topic"}`) as Spaces,
  );
  expect([
    incarnation.route("constructor1")?.spaceIncarnation,
    incarnation.route("__proto__1")?.spaceIncarnation,
  ]).toEqual([3, 3]);
  const broken = [
    "",
    "7",
    "null",
    "[]",
    "{}",
    '{"mark":1}',
    '{"mark":"1","spaces":{}}',
    '{"mark":1,"spaces":{"a":"b"}}',
  ];
  for (const text of [...broken, '{"mark":1,"spaces":{},"ended":[]}'])
    expect(IncarnationsKey.read(Buffer.from(text))).toEqual(undefined);
  for (const text of ["", "7", '{"mark":1,"spaces":[{}]}', '{"mark":1,"spaces":[null]}', '{"mark":"1","spaces":[]}'])
    expect(ConfigurationKey.outline(Buffer.from(text))).toEqual(undefined);
});
