import type { CAC } from "cac";
import { explore, type ExploreOptions } from "../explore/exploreCommand.js";

/** `explore`: the model checker of the replicated log. */
export function registerExplore(cli: CAC): void {
  cli
    .command("explore", "Model-check the replicated log: seeded random walks, or exhaustive search to a bounded depth")
    .option("--seed <n>", "Seed of the walks", { default: 1 })
    .option("--walks <n>", "How many walks", { default: 2000 })
    .option("--steps <n>", "Actions drawn for a walk", { default: 400 })
    .option("--machines <n>", "Machines, of which the first ones vote", { default: 3 })
    .option("--voters <n>", "How many vote at first", { default: 3 })
    .option("--profiles <list>", "What the walks are like", { default: "restarts,losses,frozen,everything" })
    .option("--search <scenario>", "Search exhaustively instead, from one scenario or from all")
    .option("--depth <n>", "Actions after the scenario's start")
    .option("--states <n>", "End a search after so many states", { default: 100_000 })
    .option("--ignore <list>", "Properties that are known to be broken")
    .option("--replay <file>", "Play a trace that was printed before")
    .example("cranetrack-lab explore --walks 500 --profiles restarts,losses")
    .action(async (options: ExploreOptions) => {
      process.exitCode = (await explore(options, (text) => process.stdout.write(text))) ? 0 : 1;
    });
}
