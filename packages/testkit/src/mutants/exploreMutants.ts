import type { Mutant } from "./mutant.js";

const test = "testkit/dist/explore/explore.test.js";
/** Traces for what the bounded part hardly comes by. */
const traces = "testkit/dist/explore/found.test.js";
const replicaLog = "core/dist/replication/replicaLog.js";
const followerLog = "core/dist/replication/followerLog.js";
const logReplicator = "core/dist/replication/logReplicator.js";
const raftNode = "control/dist/consensus/raftNode.js";

/** Guards of the replicated log that the explorer must miss, by its bounded part alone. */
export const exploreMutants: readonly Mutant[] = [
  {
    name: "explorer: a promise resolves before its sync",
    file: replicaLog,
    find: "this.#termWrite = this.#disk.write([this.#termAndVoteChange()]);",
    put: "void this.#disk.write([this.#termAndVoteChange()]);",
    test,
  },
  {
    name: "explorer: a log that is behind gets votes",
    file: "control/dist/consensus/election.js",
    find: "if (!isUpToDate || hasLeader)",
    put: "if (hasLeader)",
    test,
  },
  {
    name: "explorer: two votes in a term",
    file: "control/dist/consensus/election.js",
    find: '(log.vote === "" || log.vote === vote.candidate)',
    put: "true",
    test,
  },
  {
    name: "explorer: older terms commit by counting",
    file: logReplicator,
    find: " || this.#log.termAt(majorityIndex) !== this.#term",
    put: "",
    test: traces,
  },
  {
    name: "explorer: only the new set commits in an exchange",
    file: logReplicator,
    find: "this.#voterSets = voterSets.map((set) => [...set]);",
    put: "this.#voterSets = [[...voterSets.at(-1)]];",
    test,
  },
  {
    name: "explorer: one of two sets elects",
    file: "control/dist/consensus/voterSets.js",
    find: "return VoterSets.of(members).every(",
    put: "return VoterSets.of(members).some(",
    test,
  },
  {
    name: "explorer: an exchange of voters begins before the one before is over",
    file: "control/dist/consensus/membershipChange.js",
    find: "return this.#memberLog.index <= commit && !VoterSets.isJoint(this.#memberLog.members);",
    put: "return true;",
    test,
  },
  {
    name: "explorer: a learner counts",
    file: "control/dist/consensus/leadership.js",
    find: "VoterSets.idSets(members), VoterSets.learnerIds(members)",
    put: "VoterSets.idSets(members).map((set) => [...set, ...VoterSets.learnerIds(members)]), []",
    test,
  },
  {
    name: "explorer: a read asks nobody",
    file: raftNode,
    find: "return (await this.#proposals.confirm()) && this.isLeader;",
    put: "return this.isLeader;",
    test,
  },
  {
    name: "explorer: a read is answered before an entry of the term is committed",
    file: raftNode,
    find: "return this.#leadership !== undefined && this.#applier.applied >= this.#leadership.noopIndex;",
    put: "return this.#leadership !== undefined;",
    test,
  },
  {
    name: "explorer: a snapshot throws away what follows it",
    file: followerLog,
    find: " || this.#log.termAt(index) === indexTerm",
    put: "",
    test,
  },
  {
    name: "explorer: a follower answers before its disk",
    file: followerLog,
    find: "await entriesSynced;",
    put: "",
    test,
  },
  {
    name: "explorer: a follower takes what does not follow its log",
    file: followerLog,
    find: "if (!isBehindBase && this.#log.termAt(prevIndex) !== prevTerm)",
    put: "if (!isBehindBase && this.#log.termAt(prevIndex) === undefined)",
    test,
  },
  {
    name: "explorer: a leader counts its own entries before its disk has them",
    file: logReplicator,
    find: "id === this.#self ? this.#log.syncedIndex",
    put: "id === this.#self ? this.#log.lastIndex",
    test,
  },
  {
    name: "explorer: who lacks what its leader committed is in touch",
    file: raftNode,
    find: "if (isFromCurrentLeader && this.#applier.applied >= (message.commit ?? Infinity))",
    put: "if (isFromCurrentLeader)",
    test,
  },
  {
    name: "explorer: who has heard of a leader is in touch for ever",
    file: "control/dist/consensus/leaderContact.js",
    find: "return !this.hasJustResumed && this.#clock.now() - this.#lastCurrentAt < this.staleAfterMs;",
    put: "return !this.hasJustResumed && this.#lastCurrentAt > -Infinity;",
    test,
  },
  {
    name: "explorer: who is not named by the log gets no answer to its vote",
    file: raftNode,
    find: "await this.#log.termSynced();",
    put: "if (!VoterSets.isVoter(this.members, vote.candidate)) return undefined; await this.#log.termSynced();",
    test: traces,
  },
  {
    name: "explorer: members are looked for only after the disk has them",
    file: raftNode,
    find: "const reply = writeToLog();",
    put: "const reply = writeToLog(); await reply;",
    test: traces,
  },
  {
    name: "explorer: only voters of the newest members ask for votes",
    file: "control/dist/consensus/membershipChange.js",
    find: "[members, this.#memberLog.membersAt(index - 1)]",
    put: "[members]",
    test: traces,
  },
];
