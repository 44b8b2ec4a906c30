import type { Mutant } from "./sabotage.js";

const file = "control/dist/consensus/raftNode.js";
const test = "testkit/dist/sim/elections.test.js";

/** What keeps an election from being undone by what was asked before it. */
export const electionMutants: readonly Mutant[] = [
  {
    name: "who has voted goes on asking for votes itself",
    file,
    find: "this.#asking = 0;\n            await this.#log.promise(",
    put: "await this.#log.promise(",
    test,
  },
  {
    name: "votes are asked for in a term that is over",
    file,
    find: "this.#ask(true);\n        }\n        if (reply.isGranted",
    put: "void 0;\n        }\n        if (reply.isGranted",
    test,
  },
];
