import type { CAC } from "cac";
import { Cost } from "../slopes/cost.js";

/** `cost`: processor time and frames of an idle fleet, and of small calls. */
export function registerCost(cli: CAC): void {
  cli
    .command("cost", "Measure what processes cost one another: an idle fleet, and small calls")
    .option("--edges <list>", "Idle fleets with these numbers of edges, separated by commas", { default: "6,54" })
    .option("--calls <n>", "How many calls", { default: 20_000 })
    .option("--json", "Print only JSON")
    .example("cranetrack-lab cost --edges 6 --calls 5000")
    .action(async (options: { edges: string | number; calls: number; json?: boolean }) => {
      const calls = [await Cost.calls(options.calls, 1), await Cost.calls(options.calls, 50)];
      const idle = [];
      for (const edges of String(options.edges).split(",")) idle.push(await Cost.idle(Number(edges)));
      process.stdout.write(`${JSON.stringify({ calls, idle }, null, 2)}\n`);
      if (options.json === true) return;
      console.table(calls);
      console.table(idle.map(({ kinds, ...rest }) => ({ ...rest, gossip: kinds["gossip"] })));
    });
}
