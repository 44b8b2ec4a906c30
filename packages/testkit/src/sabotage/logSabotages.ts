import type { Sabotage } from "./sabotage.js";

/** Guards of replicated logs, their snapshots and their compaction. */
export const logSabotages: readonly Sabotage[] = [
  {
    name: "a snapshot takes away the entries behind it",
    file: "core/dist/replication/followerLog.js",
    find: "index <= commit || this.#log.termAt(index) === indexTerm",
    put: "index <= commit",
    test: "core/dist/replication/followerLog.test.js",
  },
  {
    name: "an answer does not wait for its term",
    file: "core/dist/replication/followerLog.js",
    find: "await this.#log.termSynced();",
    put: "",
    test: "core/dist/replication/followerLog.test.js",
  },
  {
    name: "what was taken in an earlier term counts in a later one",
    file: "core/dist/replication/followerLog.js",
    find: "isTaken: isTaken && to.term === this.#log.term",
    put: "isTaken",
    test: "core/dist/replication/followerLog.test.js",
  },
  {
    name: "a follower hints at its commit",
    file: "core/dist/replication/followerLog.js",
    find: "prevIndex > lastIndex ? lastIndex : this.#log.beforeTermOf(prevIndex)",
    put: "0",
    test: "core/dist/replication/followerLog.test.js",
  },
  {
    name: "an append may cut off what is committed",
    file: "core/dist/replication/followerLog.js",
    find: "index > this.#log.baseIndex && index <= commit && this.#log.termAt(index) !== term",
    put: "false",
    test: "core/dist/replication/followerLog.test.js",
  },
  {
    name: "a pulled snapshot takes away the entries behind it",
    file: "log-storage/dist/replication/replica.js",
    find: "this.log.termAt(base.index) === base.term",
    put: "false",
    test: "log-storage/dist/replication/replica.test.js",
  },
  {
    name: "logs are compacted by number alone",
    file: "core/dist/replication/logCompaction.js",
    find: "this.#bytes >= Math.max(this.#bounds.bytes, this.#log.snapshot.length)",
    put: "false",
    test: "core/dist/replication/logCompaction.test.js",
  },
  {
    name: "no tail stays behind a snapshot",
    file: "core/dist/replication/replicaLog.js",
    find: "let base = index;",
    put: "let base = index; kept = { entries: 0, bytes: 0 };",
    test: "core/dist/replication/logCompaction.test.js",
  },
  {
    name: "a base of a tail is forgotten at a start",
    file: "core/dist/replication/replicaLog.js",
    find: "if (hasTail)",
    put: "if (false)",
    test: "core/dist/replication/logCompaction.test.js",
  },
];
