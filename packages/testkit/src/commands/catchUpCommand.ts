import type { CAC } from "cac";
import { CatchUp, type ReturnMode } from "../sim/catchUp.js";
import { measureJournalGrowth } from "../sim/journalGrowth.js";

/** `catch-up`: measures in the simulator how a member of the store catches up after many big changes. */
export function registerCatchUp(cli: CAC): void {
  cli
    .command("catch-up", "Measure how members of the store catch up after many big changes, and at what cost")
    .option("--changes <n>", "How many changes", { default: 500 })
    .option("--routes <n>", "Routes in each configuration", { default: 0 })
    .option("--document <bytes>", "Bytes of the operators' document", { default: 262_144 })
    .option("--seed <n>", "Seed", { default: 5 })
    .example("cranetrack-lab catch-up --changes 200")
    .action(async (options: { changes: number; routes: number; document: number; seed: number }) => {
      const { changes, routes, seed, document: documentBytes } = options;
      const growth = await measureJournalGrowth(changes, 2 * documentBytes, 128_000_000);
      process.stdout.write(`${JSON.stringify(growth)}\n`);
      for (const comeback of ["restarted", "blank", "new"] as ReturnMode[])
        process.stdout.write(
          `${JSON.stringify(await CatchUp.run({ seed, comeback, changes, routes, documentBytes }))}\n`,
        );
    });
}
