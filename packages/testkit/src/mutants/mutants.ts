import { callMutants } from "./callMutants.js";
import { configurationMutants } from "./configurationMutants.js";
import { cutOffMutants } from "./cutOffMutants.js";
import { diskMutants } from "./diskMutants.js";
import { electionMutants } from "./electionMutants.js";
import { exploreMutants } from "./exploreMutants.js";
import { incidentMutants } from "./incidentMutants.js";
import { logMutants } from "./logMutants.js";
import { repairMutants } from "./repairMutants.js";
import type { Mutant } from "./mutant.js";
import { membershipMutants } from "./membershipMutants.js";
import { orderMutants } from "./orderMutants.js";

const sim = "testkit/dist/sim";

/** Guards taken out on purpose; for each a test must fail. */
export const mutants: readonly Mutant[] = [
  ...configurationMutants,
  ...membershipMutants,
  ...incidentMutants,
  {
    name: "a replica answers before its disk",
    file: "core/dist/replication/followerLog.js",
    find: "await synced;",
    put: "",
    test: "core/dist/replication/replication.test.js",
  },
  {
    name: "a replica takes lower terms",
    file: "core/dist/replication/followerLog.js",
    find: "append.term < this.#log.term",
    put: "false",
    test: "core/dist/replication/replication.test.js",
  },
  {
    name: "one replica is a majority",
    file: "core/dist/replication/logReplicator.js",
    find: "matches[Math.floor(set.length / 2)]",
    put: "matches[0]",
    test: "core/dist/replication/replication.test.js",
  },
  {
    name: "older terms commit by counting",
    file: "core/dist/replication/logReplicator.js",
    find: " || this.#log.termAt(agreed) !== this.#term",
    put: "",
    test: "core/dist/replication/replication.test.js",
  },
  {
    name: "only the first set counts in a swap",
    file: "core/dist/replication/logReplicator.js",
    find: "this.#sets = sets.map((set) => [...set]);",
    put: "this.#sets = [[...sets[0]]];",
    test: "core/dist/replication/replication.test.js",
  },
  {
    name: "a write resolves before its flush",
    file: "core/dist/storage/lmdbDisk.js",
    find: "await db.flushed;",
    put: "",
    test: "core/dist/storage/lmdbDisk.test.js",
  },
  {
    name: "frames carry no checksum",
    file: "core/dist/rpc/checksum.js",
    find: "crc32(bytes) === sum",
    put: "true",
    test: "core/dist/rpc/wire.test.js",
  },
  {
    name: "a lease counts from its answer",
    file: "core/dist/store/leaseKeepAlive.js",
    find: "this.#until = Math.max(this.#until, sentAt +",
    put: "this.#until = Math.max(this.#until, this.#clock.now() +",
    test: "core/dist/store/leaseKeepAlive.test.js",
  },
  {
    name: "a holder never looks at its lease",
    file: "core/dist/store/leaseKeepAlive.js",
    find: "this.#clock.now() >= this.#until",
    put: "false",
    test: "core/dist/store/leaseKeepAlive.test.js",
  },
  {
    name: "a holder serves without pledges",
    file: "log-storage/dist/shards/shardLeader.js",
    find: "Math.floor(this.#set.members.length / 2))",
    put: "0)",
    test: `${sim}/sim.test.js`,
  },
  {
    name: "the log does not know what was sent before",
    file: "log-storage/dist/shards/streamLog.js",
    find: "number > record.numbers.at(-1)",
    put: "true",
    test: `${sim}/sessions.test.js`,
  },
  {
    name: "a holder acts on a plan it cannot hear about",
    file: "log-storage/dist/shards/leaderAuthority.js",
    find: " && this.#node.feed.isFresh",
    put: "",
    test: `${sim}/freshness.test.js`,
  },
  {
    name: "ownership is rewritten without a pull",
    file: "edge/dist/sessions/sessions.js",
    find: 'owner === undefined || owner.node === "" ? undefined : await this.#pull(id, owner, lease)',
    put: "undefined",
    test: `${sim}/sessions.test.js`,
  },
  {
    name: "an owner that does not answer loses its key at once",
    file: "edge/dist/sessions/sessions.js",
    find: "return { retryAfterSeconds, reason: `the owner",
    put: "return undefined; return { retryAfterSeconds, reason: `the owner",
    test: `${sim}/sessions.test.js`,
  },
  {
    name: "a slow reader's buffer has no bound",
    file: "edge/dist/edgeNode.js",
    find: "connection.waitingBytes <= this.live.bufferBytes",
    put: "true",
    test: `${sim}/sessions.test.js`,
  },
  {
    name: "an ended subscription stays in the table",
    file: "edge/dist/subscriptions/streamCursor.js",
    find: "this.#parts.onEnd(topic);",
    put: "",
    test: `${sim}/shards.test.js`,
  },
  {
    name: "reads do not ask whether another proposes",
    file: "control/dist/consensus/raftNode.js",
    find: "return (await this.#proposals.confirm()) && this.isLeader;",
    put: "return true;",
    test: `${sim}/store.test.js`,
  },
  {
    name: "a founded lathe agrees again",
    file: "control/dist/consensus/founding.js",
    find:
      "const founded = controlNodes.find((member) => member.isInStore) " +
      "?? controlNodes.find((member) => member.isFounded);",
    put: "const founded = undefined;",
    test: `${sim}/store.test.js`,
  },
  {
    name: "emptying asks nothing about contracts",
    file: "control/dist/drain/drainMachine.js",
    find: "if (refusal !== undefined)",
    put: "if (false)",
    test: `${sim}/shards.test.js`,
  },
  {
    name: "a peer that is cut off is not reached through others",
    file: "core/dist/rpc/rpcEndpoint.js",
    find: "if (isPing || !this.isUnresponsive(to))",
    put: "if (true)",
    test: `${sim}/sessions.test.js`,
  },
  {
    name: "receipts do not go back the way a frame came",
    file: "core/dist/rpc/rpcEndpoint.js",
    find: "this.#markUnresponsive(frame.from);",
    put: ";",
    test: `${sim}/sessions.test.js`,
  },
  {
    name: "a feed is asked for again before its snapshot can come",
    file: "core/dist/feeds/feedFollower.js",
    find: "static openMs = 2500",
    put: "static openMs = 0",
    test: `${sim}/store.test.js`,
  },
  {
    name: "a space of one order is a stream a topic",
    file: "core/dist/configuration/streams.js",
    find: 'order === "space" ? root : topic',
    put: "topic",
    test: `${sim}/streams.test.js`,
  },
  {
    name: "a link reads every topic from its lowest place",
    file: "edge/dist/subscriptions/streamCursor.js",
    find: "if (from === undefined || seq <= from || ",
    put: "if (from === undefined || ",
    test: `${sim}/streams.test.js`,
  },
  {
    name: "a place is expired with the stream, not with its topic",
    file: "log-storage/dist/shards/streamReads.js",
    find: "(log.trims.get(topic) ?? 0) > seq",
    put: "log.low > seq",
    test: `${sim}/streams.test.js`,
  },
  {
    name: "an edge judges a place by what it has heard",
    file: "edge/dist/subscriptions/findStarts.js",
    find: 'return isWithinTail ? { topic, tail, cursor, expired: "" } : undefined;',
    put:
      "return { topic, tail, cursor: { incarnation: tail.incarnation, " +
      'seq: tail.head }, expired: isWithinTail ? "" : "unheard" };',
    test: `${sim}/streams.test.js`,
  },
  {
    name: "births are kept from the space's earlier life",
    file: "control/dist/store/metadata.js",
    find: "IncarnationsKey.next(before === undefined ? undefined : IncarnationsKey.read(before.value), outline)",
    put:
      'IncarnationsKey.next({ version: 0, spaces: { "notes/": 1, "notices/": ' +
      '1, "extra/": 1 }, ended: {} }, outline)',
    test: `${sim}/streams.test.js`,
  },
  {
    name: "topics that come back to a space go on in its old streams",
    file: "core/dist/keys/incarnationsKey.js",
    find: "ended: Object.fromEntries(ended),",
    put: "ended: {},",
    test: "core/dist/configuration/streams.test.js",
  },
  {
    name: "a living space may change its order",
    file: "control/dist/configuration/proposeConfiguration.js",
    find: "if (orderFaults.length > 0)",
    put: "if (false)",
    test: `${sim}/streams.test.js`,
  },
  {
    name: "an edge refuses topics from its cache",
    file: "edge/dist/publishing/configurationCheck.js",
    find: "if (prefixes !== undefined && prefixes.longest(topic) === undefined)",
    put: "if (true)",
    test: `${sim}/streams.test.js`,
  },
  {
    name: "a push that overtook its receipt counts as seen",
    file: "edge/dist/fanout/shardFollow.js",
    find: "this.add(tail);\n        }",
    put: "void 0;\n        }",
    test: "edge/dist/fanout/shardFollow.test.js",
  },
  {
    name: "pushes before their follow's receipt are let go",
    file: "edge/dist/fanout/numberedPushes.js",
    find: "this.#early.push(push);",
    put: "",
    test: "edge/dist/fanout/shardFollow.test.js",
  },
  {
    name: "a push sends no more than one batch",
    file: "log-storage/dist/follows/streamFollowers.js",
    find: "batch = this.#nextBatch(follower, stream))",
    put: "batch = undefined)",
    test: `${sim}/streams.test.js`,
  },
  {
    name: "a deaf proposer gives up without a word",
    file: "control/dist/consensus/raftNode.js",
    find: '{ case: "yield", value: { term: this.#log.term, sender: this.id, isSlow } }',
    put: '{ case: "ping", value: {} }',
    test: `${sim}/store.test.js`,
  },
  {
    name: "nobody passes on that a proposer gave up",
    file: "control/dist/consensus/raftNode.js",
    find: 'this.#sendToVoters({ case: "yield", value: { term, sender, isSlow } }, sender);',
    put: "",
    test: `${sim}/store.test.js`,
  },
  {
    name: "what a proposer sent before it gave up brings it back",
    file: "control/dist/consensus/raftNode.js",
    find: " && !this.#election.hasYielded(message.term)",
    put: "",
    test: `${sim}/store.test.js`,
  },
  {
    name: "who proposes itself waits for the proposer before",
    file: "control/dist/store/leaderForwarding.js",
    find: 'this.#raft.on("elected", onLeader);',
    put: "",
    test: `${sim}/store.test.js`,
  },
  {
    name: "a holder refuses what it has seen removed",
    file: "log-storage/dist/shards/publishHandler.js",
    find: 'if (route === undefined || status !== "current")',
    put: 'if (status === "newer" || status === "older")',
    test: `${sim}/streams.test.js`,
  },
  {
    name: "an answer that is owed takes no time",
    file: "core/dist/replication/logReplicator.js",
    find: "now - (peer.askedAt ?? now)",
    put: "0",
    test: "core/dist/replication/replication.test.js",
  },
  {
    name: "who slept takes the others for slow",
    file: "control/dist/consensus/slowMajorityDetector.js",
    find: "if (hasPaused || ",
    put: "if (",
    test: "control/dist/consensus/slowMajorityDetector.test.js",
  },
  {
    name: "a mute member is never asked for a sign of life",
    file: "core/dist/membership/membership.js",
    find: "const drawn = partners[Math.floor(this.#random.draw() * partners.length)];",
    put: 'const [drawn] = this.#peers.draw(1, "", partners);',
    test: `${sim}/membership.test.js`,
  },
  {
    name: "a slow proposer stays",
    file: "control/dist/consensus/raftNode.js",
    find: "if (this.#slowMajority.isSlow(now, replicator.answerMs))",
    put: "if (false)",
    test: `${sim}/store.test.js`,
  },
  {
    name: "a lost lease is left to run out",
    file: "core/dist/store/leaseKeepAlive.js",
    find: 'void this.#store.call({ case: "revoke", value: { lease } });',
    put: "void 0;",
    test: `${sim}/sessions.test.js`,
  },
  {
    name: "a tail keeps what it has across a gap",
    file: "edge/dist/fanout/streamTail.js",
    find: "this.#skipTo(from);",
    put: "this.head = from;",
    test: "edge/dist/fanout/streamTail.test.js",
  },
  ...exploreMutants,
  ...logMutants,
  ...cutOffMutants,
  ...diskMutants,
  ...orderMutants,
  ...repairMutants,
  ...callMutants,
  ...electionMutants,
];
