import type { Mutant } from "./mutant.js";

const file = "control/dist/consensus/raftNode.js";
const test = "testkit/dist/sim/elections.test.js";

/** What keeps an election from being undone by what was asked before it. */
export const electionMutants: readonly Mutant[] = [
  {
    name: "who has voted goes on asking for votes itself",
    file,
    find: "this.#election.endCampaign();\n            await this.#log.saveTermAndVote(",
    put: "await this.#log.saveTermAndVote(",
    test,
  },
  {
    name: "votes are asked for in a term that is over",
    file,
    find: "this.#campaign(true);\n        }\n        if (this.#election.recordVote(reply))",
    put: "void 0;\n        }\n        if (this.#election.recordVote(reply))",
    test,
  },
];
