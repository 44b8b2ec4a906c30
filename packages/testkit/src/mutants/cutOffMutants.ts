import type { Mutant } from "./mutant.js";

const test = "testkit/dist/sim/freshness.test.js";

/** Guards of members that are cut off, behind or just awake. */
export const cutOffMutants: readonly Mutant[] = [
  {
    name: "whoever hears the leader counts as current",
    file: "control/dist/consensus/raftNode.js",
    find: "this.#applier.applied >= (message.commit ?? Infinity)",
    put: "true",
    test,
  },
  {
    name: "a feed begins with what its member has, whatever was committed",
    file: "control/dist/store/feeds.js",
    find: "this.#raft.metadata.revision < feed.requiredRevision",
    put: "false",
    test,
  },
  {
    name: "a feed that nobody takes is waited for",
    file: "core/dist/feeds/feedFollower.js",
    find: "feed !== this.#feed || isAccepted",
    put: "true",
    test,
  },
  {
    name: "a feed whose acceptance is late is forgotten",
    file: "core/dist/feeds/feedFollower.js",
    find: "if (reply === undefined)",
    put: "if (false)",
    test: "testkit/dist/sim/store.test.js",
  },
  {
    name: "a push counts from when it was read",
    file: "core/dist/feeds/feedFollower.js",
    find: "Math.max(this.#heardAt, Math.min(now,",
    put: "Math.max(this.#heardAt, now, Math.min(now,",
    test,
  },
  {
    name: "a member that stood still believes its buffers",
    file: "control/dist/consensus/leaderContact.js",
    find: "this.#resumedAt = this.#lastTickAt = this.#clock.now();",
    put: "this.#lastTickAt = this.#clock.now();",
    test: "control/dist/consensus/leaderContact.test.js",
  },
  {
    name: "a drain is refused from the view of whoever is asked",
    file: "control/dist/drain/drainMachine.js",
    find: "node.feed.isFresh",
    put: "true",
    test: "testkit/dist/sim/drains.test.js",
  },
];
