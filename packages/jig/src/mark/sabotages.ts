export interface Sabotage {
  name: string;
  /** Built file below packages/, and what to put in place of what. */
  file: string;
  find: string;
  put: string;
  /** The built test that must fail then. */
  test: string;
}

const sim = "jig/dist/process/sim";

/** Guards taken out on purpose; for each a test must fail. */
export const sabotages: readonly Sabotage[] = [
  {
    name: "a replica answers before its disk",
    file: "chest/dist/mark/intake.js",
    find: "await synced;",
    put: "",
    test: "chest/dist/mark/replication.test.js",
  },
  {
    name: "a replica takes lower terms",
    file: "chest/dist/mark/intake.js",
    find: "append.term < this.#log.term",
    put: "false",
    test: "chest/dist/mark/replication.test.js",
  },
  {
    name: "one replica is a majority",
    file: "chest/dist/mark/spread.js",
    find: "matches[Math.floor(set.length / 2)]",
    put: "matches[0]",
    test: "chest/dist/mark/replication.test.js",
  },
  {
    name: "older terms commit by counting",
    file: "chest/dist/mark/spread.js",
    find: " || this.#log.termAt(agreed) !== this.#term",
    put: "",
    test: "chest/dist/mark/replication.test.js",
  },
  {
    name: "only the first set counts in a swap",
    file: "chest/dist/mark/spread.js",
    find: "this.#sets = sets.map((set) => [...set]);",
    put: "this.#sets = [[...sets[0]]];",
    test: "chest/dist/mark/replication.test.js",
  },
  {
    name: "a write resolves before its flush",
    file: "chest/dist/process/lmdbDisk.js",
    find: "await db.flushed;",
    put: "",
    test: "chest/dist/process/lmdbDisk.test.js",
  },
  {
    name: "frames carry no checksum",
    file: "chest/dist/process/seal.js",
    find: "crc32(bytes) === sum",
    put: "true",
    test: "chest/dist/process/wire.test.js",
  },
  {
    name: "a lease counts from its answer",
    file: "chest/dist/process/leaseKeeper.js",
    find: "this.#until = sentAt +",
    put: "this.#until = this.#clock.now() +",
    test: "chest/dist/process/leaseKeeper.test.js",
  },
  {
    name: "a holder never looks at its lease",
    file: "chest/dist/process/leaseKeeper.js",
    find: "this.#clock.now() >= this.#until",
    put: "false",
    test: "chest/dist/process/leaseKeeper.test.js",
  },
  {
    name: "a holder serves without pledges",
    file: "anvil/dist/process/holder.js",
    find: "Math.floor(this.#set.members.length / 2))",
    put: "0)",
    test: `${sim}/sim.test.js`,
  },
  {
    name: "the log does not know what was sent before",
    file: "anvil/dist/mark/shardState.js",
    find: "number > record.numbers.at(-1)",
    put: "true",
    test: `${sim}/sessions.test.js`,
  },
  {
    name: "a holder acts on a plan it cannot hear about",
    file: "anvil/dist/process/bench.js",
    find: " && this.#node.feed.isFresh",
    put: "",
    test: `${sim}/shards.test.js`,
  },
  {
    name: "ownership is rewritten without a pull",
    file: "vise/dist/process/sessions.js",
    find: "owner === undefined ? undefined : await this.#pull(id, owner, lease)",
    put: "undefined",
    test: `${sim}/sessions.test.js`,
  },
  {
    name: "an owner that does not answer loses its key at once",
    file: "vise/dist/process/sessions.js",
    find: "return { comeBack: 0.4, reason: `the owner ${owner.node} does not answer; its lease must run out first` };",
    put: "return undefined;",
    test: `${sim}/sessions.test.js`,
  },
  {
    name: "a slow reader's buffer has no bound",
    file: "vise/dist/process/vise.js",
    find: "link.waitingBytes <= this.live.bufferBytes",
    put: "true",
    test: `${sim}/sessions.test.js`,
  },
  {
    name: "an ended subscription stays in the table",
    file: "vise/dist/link/subscription.js",
    find: "this.#onEnd();",
    put: "",
    test: `${sim}/shards.test.js`,
  },
  {
    name: "reads do not ask whether another proposes",
    file: "lathe/dist/process/ledger.js",
    find: "return (await this.#spread.confirm()) && this.isProposer;",
    put: "return true;",
    test: `${sim}/store.test.js`,
  },
  {
    name: "a plan needs no rising mark",
    file: "lathe/dist/request/putPlan.js",
    find: "markInForce >= mark",
    put: "false",
    test: `${sim}/store.test.js`,
  },
  {
    name: "a founded lathe agrees again",
    file: "lathe/dist/process/founding.js",
    find: "const founded = lathes.find((member) => member.isFounded);",
    put: "const founded = undefined;",
    test: `${sim}/store.test.js`,
  },
  {
    name: "emptying asks nothing about contracts",
    file: "lathe/dist/request/emptyMachine.js",
    find: "if (refusal !== undefined)",
    put: "if (false)",
    test: `${sim}/shards.test.js`,
  },
  {
    name: "lost replicas are never replaced",
    file: "anvil/dist/process/mender.js",
    find: "if (out === undefined)",
    put: "if (true)",
    test: `${sim}/shards.test.js`,
  },
  {
    name: "a peer that is cut off is not reached through others",
    file: "chest/dist/process/exchange.js",
    find: "if (isPing || !this.isMute(to))",
    put: "if (true)",
    test: `${sim}/sessions.test.js`,
  },
  {
    name: "receipts do not go back the way a frame came",
    file: "chest/dist/process/exchange.js",
    find: "this.#unanswered(frame.from);",
    put: ";",
    test: `${sim}/sessions.test.js`,
  },
  {
    name: "a feed is asked for again before its picture can come",
    file: "chest/dist/process/feedFollower.js",
    find: "static openMs = 2500",
    put: "static openMs = 0",
    test: `${sim}/store.test.js`,
  },
];
