import type { CAC } from "cac";
import { knownNames } from "../names/knownName.js";
import { Faults } from "../sim/faults.js";
import type { ScenarioReport } from "../sim/scenario.js";
import { Sweep } from "../sim/sweep.js";
import { programPath } from "./sharedOptions.js";

interface SimOptions {
  from: number;
  seeds: number;
  faults?: string;
  ms: number;
  atOnce: number;
  json?: boolean;
}

function textOf({ seed, breaches, accepted, received, events, trace, faults, backMs }: ScenarioReport): string {
  const isGood = breaches.length === 0;
  const figures = `accepted ${accepted}  received ${received}  back ${Math.round(backMs)} ms  events ${events}`;
  const broken = breaches.slice(0, 5).map(({ at, rule, text }) => `  ${Math.round(at)} ${rule}: ${text}\n`);
  const caused = isGood ? "" : `  faults: ${faults.join("; ")}\n`;
  return `seed ${seed}: ${isGood ? "good" : "BREACH"}  ${figures}  ${trace.slice(0, 12)}\n${broken.join("")}${caused}`;
}

/** `sim`: runs seeded faults in the deterministic simulator; a seed gives the same trace each time. */
export function registerSim(cli: CAC): void {
  cli
    .command("sim", "Run seeded failure scenarios in the simulator")
    .option("--from <seed>", "First seed", { default: 1 })
    .option("--seeds <n>", "How many seeds", { default: 20 })
    .option("--faults <list>", "Only these faults, separated by commas")
    .option("--ms <n>", "How long faults are injected, in virtual milliseconds", { default: 25_000 })
    .option("--at-once <n>", "How many seeds to run at once", { default: 1 })
    .option("--json", "Print a line of JSON for each seed")
    .example("cranetrack-lab sim --seeds 50 --faults kill,wipe")
    .action(async (options: SimOptions) => {
      const faults = knownNames("fault", options.faults, Faults.all);
      const { from, seeds, ms, atOnce } = options;
      const sweep = new Sweep({ from, seeds, ms, faults, atOnce }, (report) =>
        process.stdout.write(options.json === true ? `${JSON.stringify(report)}\n` : textOf(report)),
      );
      if (atOnce > 1) await sweep.run(programPath);
      else for (let seed = from; seed < from + seeds; seed += 1) sweep.addReport(await Sweep.run(seed, ms, faults));
      if (options.json !== true) process.stdout.write(sweep.text);
      process.exitCode = sweep.failed > 0 ? 1 : 0;
    });
}
