import type { Mutant } from "./mutant.js";

/** Guards of what a topic keeps through versions: its stream, its numbers, its subscribers and its cursors. */
export const streamMutants: readonly Mutant[] = [
  {
    name: "a topic's stream is named after its space",
    file: "core/dist/configuration/streams.js",
    find: '?.longest(topic)?.[1] ?? "";',
    put: "?.longest(topic)?.[1] ?? space;",
    test: "core/dist/configuration/streams.test.js",
  },
  {
    name: "entries of an earlier release make the record of this one",
    file: "control/dist/store/metadata.js",
    find: "isRequested ? ",
    put: "true ? ",
    test: "control/dist/store/metadata.test.js",
  },
  {
    name: "what the log took before is left out where the stream is in memory",
    file: "edge/dist/subscriptions/nextIncarnation.js",
    find: "if (readSeq === base.seq)",
    put: "if (true)",
    test: "edge/dist/subscriptions/nextIncarnation.test.js",
  },
  {
    name: "a cursor of memory is no place in the log",
    file: "log-storage/dist/shards/streamReads.js",
    find: "if (position.identity === own.identity)",
    put: "if (incarnation === log.incarnation)",
    test: "log-storage/dist/shards/streamReads.test.js",
  },
  {
    name: "numbers that were taken in memory are forgotten with it",
    file: "log-storage/dist/shards/memoryStreams.js",
    find: "entry.retiredAt ??= at;",
    put: "this.#streams.delete(stream);",
    test: "log-storage/dist/shards/memoryStreams.test.js",
  },
  {
    name: "numbers that were taken in memory are not asked about where the stream is in the log",
    file: "log-storage/dist/shards/servedStreams.js",
    find: ": (inLog() ?? inMemory());",
    put: ": inLog();",
    test: "testkit/dist/sim/streams.test.js",
  },
  {
    name: "a subscription whose topic has no stream is forgotten",
    file: "edge/dist/connections/sessionConnection.js",
    find: "this.#suspended.set(topic, cursor);",
    put: "",
    test: "testkit/dist/sim/topicVersions.test.js",
  },
  {
    name: "an edge refuses what it has not heard of at once",
    file: "edge/dist/publishing/findRoute.js",
    find: "await configuration.reached(versionWithSpace, parts.clock, configurationWaitMs);",
    put: "",
    test: "testkit/dist/sim/streams.test.js",
  },
  {
    name: "a stream that no contract covers is dropped at once",
    file: "log-storage/dist/shards/streamTrimmer.js",
    find: "if (at - since < _a.#promisedMs(log))",
    put: "if (false)",
    test: "testkit/dist/sim/streams.test.js",
  },
];
