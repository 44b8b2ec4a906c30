import type { CAC } from "cac";
import { explore, type ExploreOptions } from "../explore/exploreCommand.js";

/** `explore`: the model checker of the replicated log. */
export function registerExplore(cli: CAC): void {
  cli
    .command("explore", "Model-check the replicated log: seeded random walks, or exhaustive search to a bounded depth")
    .option("--seed <n>", "Seed of the walks", { default: 1 })
    .option("--walks <n>", "How many walks", { default: 2000 })
    .option("--steps <n>", "Actions in each walk", { default: 400 })
    .option("--machines <n>", "Machines; the first ones are voters", { default: 3 })
    .option("--voters <n>", "Initial number of voters", { default: 3 })
    .option("--profiles <list>", "Profiles of the walks, separated by commas", {
      default: "restarts,losses,frozen,everything",
    })
    .option("--search <scenario>", "Search exhaustively instead, from one scenario or from `all`")
    .option("--depth <n>", "Actions after the scenario's start")
    .option("--states <n>", "End a search after this many states", { default: 100_000 })
    .option("--ignore <list>", "Properties that are known to be broken")
    .option("--replay <file>", "Replay a trace that was printed before")
    .example("cranetrack-lab explore --walks 500 --profiles restarts,losses")
    .action(async (options: ExploreOptions) => {
      process.exitCode = (await explore(options, (text) => process.stdout.write(text))) ? 0 : 1;
    });
}
