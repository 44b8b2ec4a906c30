import type { Mutant } from "./mutant.js";

const sim = "testkit/dist/sim";
const publishHandler = "log-storage/dist/shards/publishHandler.js";

/** Guards that came of the incident "Order and configuration", and the invariants that watch them. */
export const incidentMutants: readonly Mutant[] = [
  {
    name: "what a subscription was handed on is not remembered over a change of holder",
    file: "edge/dist/subscriptions/streamCursor.js",
    find: "seq <= handledUpTo || this.#isRepeat(message)",
    put: "seq <= handledUpTo",
    test: `${sim}/memory.test.js`,
  },
  {
    name: "a late join takes a later call of the topic for its own",
    file: "edge/dist/connections/sessionConnection.js",
    find: "this.#pending.get(call.topic)?.call === call",
    put: "this.#pending.has(call.topic)",
    test: `${sim}/connections.test.js`,
  },
  {
    name: "a young holder refuses what an earlier one may have taken",
    file: publishHandler,
    find: "if (isNeverAccepted && this.#memory.mayHavePredecessor(stream, this.#leader.shardTime))",
    put: "if (false)",
    test: `${sim}/memory.test.js`,
  },
  {
    name: "a young holder sequences repeats where one order is promised",
    file: publishHandler,
    find: "if (publish.mayBeRepeat && this.#wouldReorder(stream, contract))",
    put: "if (false)",
    test: `${sim}/memory.test.js`,
  },
  {
    name: "edges don't say that a publish may be a repeat",
    file: "edge/dist/publishing/publishMessage.js",
    find: "mayBeRepeat: mayBeAccepted",
    put: "mayBeRepeat: false",
    test: `${sim}/memory.test.js`,
  },
  {
    name: "an accepted number counts as never sent",
    file: "edge/dist/publishing/publishNumbers.js",
    find: "number <= numbers.highest && !numbers.notAccepted.has(number)",
    put: "false",
    test: `${sim}/lostOwner.test.js`,
  },
  {
    name: "what a connection received is forgotten with the cursor",
    file: "edge/dist/subscriptions/joinStreams.js",
    find: "delivered: session.deliveredNumbers",
    put: "delivered: new session.deliveredNumbers.constructor(0)",
    test: `${sim}/memory.test.js`,
  },
  {
    name: "a forgotten number is refused as never taken",
    file: "log-storage/dist/shards/streamLog.js",
    find: "if (seq === undefined && mayBeForgotten(record, number))",
    put: "if (false)",
    test: `${sim}/bounds.test.js`,
  },
  {
    name: "publishes are accepted until the disks are full",
    file: publishHandler,
    find: "!this.#leader.hasRoom",
    put: "false",
    test: `${sim}/fullDisks.test.js`,
  },
  {
    name: "a replica without room takes every entry",
    file: "core/dist/storage/diskRoom.js",
    find: "this.#shareWith(addedBytes) <= DiskRoom.maxReplicationShare",
    put: "true",
    test: "core/dist/replication/followerLog.test.js",
  },
  {
    name: "a full disk's logs are not rewritten early",
    file: "log-storage/dist/replication/roomRecovery.js",
    find: "if (this.#isRewriting)",
    put: "if (true)",
    test: `${sim}/fullDisks.test.js`,
  },
  {
    name: "a read older than what was seen is believed",
    file: "core/dist/configuration/configurationVerifier.js",
    find: "if (revision < bound)",
    put: "if (false)",
    test: "core/dist/runtime/invariantMonitor.test.js",
  },
  {
    name: "a configuration that goes back is not counted",
    file: "core/dist/configuration/configurationView.js",
    find: "if (next.configuration.version < this.version)",
    put: "if (false)",
    test: "core/dist/configuration/configuration.test.js",
  },
  {
    name: "entries that diverge from committed ones are not counted",
    file: "core/dist/replication/followerLog.js",
    find: "if (conflicting !== undefined)",
    put: "if (false)",
    test: "core/dist/replication/followerLog.test.js",
  },
  {
    name: "a proposer gives way for slowness soon after another has",
    file: "control/dist/consensus/raftNode.js",
    find: "if (isSlow && term >= this.#log.term)",
    put: "if (false)",
    test: `${sim}/elections.test.js`,
  },
  {
    name: "a journal whose renaming was kept by half is taken for none",
    file: "core/dist/storage/journalDisk.js",
    find: "if (!existsSync(path) && existsSync(compactedPath))",
    put: "if (false)",
    test: "core/dist/storage/journalDisk.test.js",
  },
];
