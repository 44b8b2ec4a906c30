import type { CAC } from "cac";
import { runUnderLoad, type LoadOptions } from "./runUnderLoad.js";

/** `load`: runs a deployment's clients against real processes, without faults. */
export function registerLoad(cli: CAC): void {
  cli
    .command(
      "load <deployment>",
      "Start a fleet, run the deployment's clients against it, and check what they observed",
    )
    .option("--seconds <n>", "How long the clients run", { default: 120 })
    .option("--share <n>", "Share of today's load", { default: 1 })
    .option("--folder <folder>", "Where settings, data and logs go")
    .example("cranetrack-lab load reefline --seconds 120")
    .action((name: string, options: LoadOptions & { seconds: number }) =>
      runUnderLoad(name, options, [], async (fleet, load) => {
        const configurationInForceMs = await load.measureRollouts(5);
        const memory: Array<Record<string, number>> = [];
        for (let part = 0; part < 4; part += 1) {
          await new Promise((resolve) => setTimeout(resolve, options.seconds * 250));
          memory.push(await fleet.largestMemoryMb());
        }
        return { isGood: true, configurationInForceMs, memory };
      }),
    );
}
