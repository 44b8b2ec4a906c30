import type { CAC } from "cac";
import { ChaosDrill } from "../fleet/chaosDrill.js";
import { Deployments } from "../fleet/deployments.js";
import { knownNames } from "../names/knownName.js";
import { runUnderLoad, type LoadOptions } from "./runUnderLoad.js";

interface DrillOptions extends LoadOptions {
  only?: string;
  targets?: string;
}

/** `drill`: injects chosen faults into real processes under load, one after the other, and measures recovery. */
export function registerDrill(cli: CAC): void {
  cli
    .command("drill <deployment>", "Start a fleet under load and inject faults into its processes, one after the other")
    .option("--share <n>", "Share of today's load", { default: 1 })
    .option("--folder <folder>", "Where settings, data and logs go")
    .option("--only <list>", "Only these drills, separated by commas")
    .option("--targets <list>", "Only on these: edge, holder, proposer")
    .example("cranetrack-lab drill adwen --only kill,cut --targets edge")
    .action((name: string, options: DrillOptions) => {
      const names = knownNames("drill", options.only, ChaosDrill.names) ?? ChaosDrill.names;
      const targets = knownNames("target", options.targets, ChaosDrill.targets);
      // Relays run in this process, which also runs the clients, so they are used only if a drill needs them.
      const needsRelays = names.includes("cut") || names.includes("slow");
      const relayed = needsRelays ? Deployments.machines(Deployments.find(name)).map((machine) => machine.name) : [];
      return runUnderLoad(name, options, relayed, async (fleet, load) => {
        const drill = new ChaosDrill(fleet, load, ({ what, readyMs, backMs }) =>
          process.stderr.write(`${what}: ready after ${readyMs}, service recovered after ${backMs} ms\n`),
        );
        await drill.run(names, targets);
        const steps = drill.delays(load.history.events);
        for (const step of steps) process.stderr.write(`${JSON.stringify(step)}\n`);
        return { isGood: drill.steps.every((step) => step.backMs <= ChaosDrill.maxRecoveryMs), steps };
      });
    });
}
