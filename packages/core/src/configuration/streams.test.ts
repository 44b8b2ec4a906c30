import { documentTextOf } from "./documentBuilder.js";
import { test } from "node:test";
import { expect } from "earl";
import { IncarnationsKey, type IncarnationsRecord } from "../keys/incarnationsKey.js";
import type { Order, Configuration } from "./configuration.js";
import { ConfigurationKey } from "../keys/configurationKey.js";
import { ConfigurationReader } from "./configurationReader.js";
import { Streams, type StreamRoute } from "./streams.js";

/** The orders of spaces by prefix; a space marked `unkept` keeps no messages. */
type Spaces = Record<string, Order | `${Order}, unkept`>;

/** A configuration and its incarnations, derived from those of the version before. */
class RoutingState {
  configuration: Configuration | undefined;
  incarnations: IncarnationsRecord | undefined;

  put(version: number, spaces: Spaces): this {
    const list = Object.entries(spaces).map(([prefix, kind], i) => {
      const [order, storage] = kind.split(", ") as [Order, string | undefined];
      const contract = { keep: storage === undefined ? 60 : 0, fault_budget: {}, order };
      return { name: `s${i}`, prefix, program: [{ when: {}, contract }] };
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

/** A deterministic source of whole numbers below a bound. */
function seededRandom(seed: number): (below: number) => number {
  let state = seed;
  return (below) => {
    state = (state * 48271) % 2147483647;
    return state % below;
  };
}

test("a topic is a stream of its own, and under order `space` the whole space is one", () => {
  const incarnation = new RoutingState().put(1, { "a.": "topic", "b:": "space", "c/": "sender" });
  expect(incarnation.route("a.1:2")).toEqual({ stream: "0:a.1:2", space: "a.", spaceIncarnation: 0 });
  expect(incarnation.route("b:7")).toEqual({ stream: "2:b:", space: "b:", spaceIncarnation: 1 });
  expect(incarnation.route("c/")?.stream).toEqual("0:c/");
  expect(incarnation.route("d/1")).toEqual(undefined);
  expect(["2:a.1:2", "2:b:", "12:constructor/"].map(Streams.rootOf)).toEqual(["a.", "b:", "constructor/"]);
  expect(["2:a.1:2", "2:b:"].map(Streams.topicOf)).toEqual(["a.1:2", "b:"]);
  expect(["", "x", ":", "99:a", "-1:a", "0:a"].map(Streams.rootOf)).toEqual(["", "", "", "a", "", ""]);
  expect(["0:a.1", "2:a.1", "2:b:", "2:b:7", "0:d/"].map((one) => incarnation.incarnationOf(one))).toEqual([
    0,
    undefined,
    1,
    undefined,
    undefined,
  ]);
});

// Guards against LOST (review/1, review/2, issue 42): a route that came or went gave topics another stream, so that
// subscribers heard nothing more and cursors were of no use.
test("a topic's stream is the same under every configuration that has a space for it", () => {
  const kinds: Array<Spaces[string]> = ["topic", "sender", "topic, unkept", "sender, unkept"];
  const prefixes = ["a", "a/", "a/b", "a/b/", "a/b/c", "constructor", "__proto__"];
  const topics = ["a/b/c/d", "a/b/x", "a/y", "constructor", "__proto__"];
  const draw = seededRandom(7);
  const incarnation = new RoutingState();
  let routedCount = 0;
  for (let version = 1; version <= 1000; version += 1) {
    const spaces: Spaces = Object.create(null) as Spaces;
    for (const prefix of prefixes) if (draw(2) === 0) spaces[prefix] = kinds[draw(kinds.length)]!;
    incarnation.put(version, spaces);
    for (const topic of topics) {
      const route = incarnation.route(topic);
      const longest = Object.keys(spaces).filter((prefix) => topic.startsWith(prefix));
      expect(route === undefined).toEqual(longest.length === 0);
      if (route === undefined) continue;
      routedCount += 1;
      expect([route.stream, route.spaceIncarnation]).toEqual([`0:${topic}`, 0]);
      expect(incarnation.incarnationOf(route.stream)).toEqual(0);
    }
    // The size of the record does not grow with the number of earlier versions.
    const { spaces: whole, nested, roots } = incarnation.incarnations!;
    expect([Object.keys(whole), nested, Object.keys(roots)]).toEqual([[], [], []]);
  }
  expect(routedCount > 2000).toEqual(true);
});

// Guards against LOST after an upgrade: the streams of an earlier release keep the names that it gave them.
test("topics of an earlier release keep their streams' names, whatever routes come and go", () => {
  const stored = '{"mark":9,"spaces":{"a/":1,"a/b/":1,"c/":4,"w/":7},"ended":{"a/x/":3},"roots":{"a/b/":"a/"}}';
  const incarnation = new RoutingState();
  incarnation.incarnations = IncarnationsKey.read(Buffer.from(stored))!;
  const names = (): Array<string | undefined> =>
    ["a/1", "a/b/1", "c/d/1", "e/1"].map((topic) => incarnation.route(topic)?.stream);
  const all: Spaces = { "a/": "topic", "a/b/": "topic", "c/": "topic", "e/": "topic", "w/": "space" };
  expect(incarnation.put(10, all).route("w/1")).toEqual({ stream: "2:w/", space: "w/", spaceIncarnation: 7 });
  const first = ["2:a/1", "2:a/b/1", "2:c/d/1", "0:e/1"];
  expect(names()).toEqual(first);
  incarnation.put(11, { "": "topic, unkept", "c/d/": "topic" }).put(12, { "a/b/1": "topic" });
  expect(names()).toEqual([undefined, "2:a/b/1", undefined, undefined]);
  incarnation.put(13, { "": "topic" });
  expect(names()).toEqual(first);
});

test("a space that is one stream gets a new incarnation when topics come back to it", () => {
  const incarnation = new RoutingState().put(1, { "a/": "space" }).put(5, { "a/": "space", "a/b/": "topic" });
  expect([incarnation.incarnationOf("2:a/"), incarnation.route("a/b/1")?.stream]).toEqual([1, "0:a/b/1"]);
  incarnation.put(7, { "a/": "space", "a/b/": "topic", "a/b/c/": "space" });
  expect(incarnation.incarnationOf("2:a/")).toEqual(1);
  expect(incarnation.put(9, { "a/": "space" }).route("a/b/1")).toEqual({
    stream: "2:a/",
    space: "a/",
    spaceIncarnation: 9,
  });
});

test("a whole space's incarnation only rises, changes with its topics, and what it has left never comes back", () => {
  const prefixes = ["a", "a/", "a/b", "a/b/", "a/b/c", "constructor", "__proto__"];
  const topics = ["a/b/c/d", "a/b/x", "a/y", "constructor", "__proto__"];
  const kinds: Array<Spaces[string]> = ["topic", "topic", "sender", "topic, unkept", "space"];
  const draw = seededRandom(7);
  const incarnation = new RoutingState();
  const last = new Map<string, StreamRoute>();
  const left = new Set<string>();
  let orders: Spaces = Object.create(null) as Spaces;
  for (let version = 1; version <= 4000; version += 1) {
    const next: Spaces = Object.create(null) as Spaces;
    // A space keeps its kind for its life; on each change most of the spaces stay.
    for (const prefix of prefixes)
      if (prefix in orders ? draw(4) > 0 : draw(4) === 0) next[prefix] = orders[prefix] ?? kinds[draw(kinds.length)]!;
    incarnation.put(version, (orders = next));
    for (const topic of topics) {
      const before = last.get(topic);
      const now = incarnation.route(topic);
      const id = (one: StreamRoute): string => `${topic} ${one.stream} ${one.spaceIncarnation}`;
      const isWhole = (one: StreamRoute): boolean => one.spaceIncarnation > 0;
      if (before !== undefined && isWhole(before) && (now === undefined || id(now) !== id(before)))
        left.add(id(before));
      if (now === undefined) {
        last.delete(topic);
        continue;
      }
      expect(incarnation.incarnationOf(now.stream)).toEqual(now.spaceIncarnation);
      expect([left.has(id(now)), version]).toEqual([false, version]);
      if (before !== undefined && isWhole(now) && now.stream === before.stream)
        expect(now.spaceIncarnation >= before.spaceIncarnation).toEqual(true);
      last.set(topic, now);
    }
  }
  expect(left.size > 100).toEqual(true);
  expect(incarnation.incarnations!.nested.length <= prefixes.length).toEqual(true);
});

// Guards against LOST (review/1): one version that removed 300 routes within another route's prefix dropped that
// route's messages and cut its subscribers off.
for (const kind of ["topic", "topic, unkept"] as const)
  test(`spaces removed within another one leave its topics as they are, however many (${kind})`, () => {
    const outer: Spaces = { "a/": "topic" };
    const inner = Object.fromEntries(Array.from({ length: 600 }, (_, i) => [`a/${i}/`, kind] as const));
    const incarnation = new RoutingState().put(1, outer).put(2, { ...outer, ...inner });
    expect(incarnation.put(3, outer).route("a/x")).toEqual({ stream: "0:a/x", space: "a/", spaceIncarnation: 0 });
    expect(incarnation.route("a/7/x")).toEqual({ stream: "0:a/7/x", space: "a/", spaceIncarnation: 0 });
    expect(Object.keys(incarnation.put(4, {}).incarnations!.spaces)).toEqual([]);
  });

test("incarnations under names of inherited object properties, and bytes that are no incarnations", () => {
  const incarnation = new RoutingState().put(3, JSON.parse(`{"constructor":"space","__proto__":"space"}`) as Spaces);
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
  for (const text of [...broken, '{"mark":1,"spaces":{},"nested":[1]}', '{"mark":1,"spaces":{},"roots":{"a":1}}'])
    expect(IncarnationsKey.read(Buffer.from(text))).toEqual(undefined);
  for (const text of ["", "7", '{"mark":1,"spaces":[{}]}', '{"mark":1,"spaces":[null]}', '{"mark":"1","spaces":[]}'])
    expect(ConfigurationKey.outline(Buffer.from(text))).toEqual(undefined);
});
