import type { Mutant } from "./mutant.js";

const storm = "testkit/dist/sim/configurationStorm.test.js";

/** Guards of how configurations travel. */
export const configurationMutants: readonly Mutant[] = [
  {
    name: "a value left out is any version's",
    file: "core/dist/store/packedValue.js",
    find: "base?.revision !== packed.baseRevision",
    put: "base === undefined",
    test: "core/dist/store/packedValue.test.js",
  },
  {
    name: "a difference is not checked against its sum",
    file: "core/dist/store/fossilDelta.js",
    find: "at !== size || count !== checksumOf(target)",
    put: "at !== size",
    test: "core/dist/store/packedValue.test.js",
  },
  {
    name: "the store takes differences without their base",
    file: "control/dist/store/metadata.js",
    find: "!txn.puts.every((kv) => this.#tryUnpack(kv))",
    put: "(txn.puts.forEach((kv) => this.#tryUnpack(kv)), false)",
    test: "control/dist/store/metadata.test.js",
  },
  {
    name: "a difference without its base is not written whole",
    file: "core/dist/store/storeClient.js",
    find: 'written.outcome === "rebase"',
    put: "false",
    test: storm,
  },
  {
    name: "a push with a difference that does not apply is taken",
    file: "core/dist/feeds/feedFollower.js",
    find: "!push.kvs.every((kv) => this.#unpack(kv))",
    put: "(push.kvs.forEach((kv) => this.#unpack(kv)), false)",
    test: storm,
  },
  {
    name: "after a refused push nothing is asked for whole",
    file: "core/dist/feeds/feedFollower.js",
    find: "this.#needsSnapshot ? 0 : this.revision",
    put: "this.revision",
    test: storm,
  },
  {
    name: "a node that can read no push asks again at once",
    file: "core/dist/feeds/feedFollower.js",
    find: "if (this.#clock.now() - this.#openedAt > _a.reopenAfterCloseMs)\n            this.#open();\n        else",
    put: "this.#open();\n        if (false)",
    test: storm,
  },
  {
    name: "each node gets every change whole",
    file: "control/dist/store/feeds.js",
    find: "this.#valueHistory.packForStoreRevision(kv, isSnapshot ? 0 : fromRevision)",
    put: "kv",
    test: storm,
  },
  {
    name: "changes are remembered with their large values",
    file: "core/dist/runtime/clusterNode.js",
    find: "{ ...change, value: new Uint8Array() }",
    put: "change",
    test: storm,
  },
  {
    name: "a node is told each change of a large configuration at once",
    file: "control/dist/store/feeds.js",
    find: "feed.largeValuesNotBefore =\n                now +\n                    Math.min(",
    put: "feed.largeValuesNotBefore =\n                0 *\n                    Math.min(",
    test: storm,
  },
  {
    name: "a leader knows a value's newest version alone",
    file: "control/dist/store/valueHistory.js",
    find: ".maxVersions)",
    put: ".maxVersions - 63)",
    test: storm,
  },
  {
    name: "a leader takes differences from the newest version alone",
    file: "control/dist/store/storeService.js",
    find: "const value = this.#valueHistory.unpack(put)",
    put: "const value = undefined",
    test: storm,
  },
  {
    name: "a topic's space is the first that fits",
    file: "core/dist/configuration/prefixIndex.js",
    find: "sort((a, b) => b - a)",
    put: "sort((a, b) => a - b)",
    test: "core/dist/configuration/prefixIndex.test.js",
  },
  {
    name: "an edge takes every plan for the one that it read last",
    file: "edge/dist/publishing/configurationCheck.js",
    find: "this.#latest?.revision === revision",
    put: "this.#latest !== undefined",
    test: "edge/dist/publishing/configurationCheck.test.js",
  },
];
