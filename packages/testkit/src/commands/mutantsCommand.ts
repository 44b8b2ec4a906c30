import type { CAC } from "cac";
import { fileURLToPath } from "node:url";
import { MutantRunner } from "../mutants/mutantRunner.js";
import { mutants } from "../mutants/mutants.js";

/** `mutants`: mutation testing. Each mutant must be caught by the test that it names. */
export function registerMutants(cli: CAC): void {
  cli
    .command("mutants", "Take one guard at a time out of a copy and see whether its test notices")
    .option("--at-once <n>", "How many at a time", { default: 4 })
    .option("--only <text>", "Only guards whose name has this text", { default: "" })
    .example("cranetrack-lab mutants --only lease")
    .action(async (options: { atOnce: number; only: string }) => {
      const root = fileURLToPath(new URL("../../../..", import.meta.url));
      const chosen = mutants.filter(({ name }) => name.includes(options.only));
      if (chosen.length === 0) throw new Error(`no guard's name has "${options.only}"`);
      const reports = await new MutantRunner(root).run(chosen, options.atOnce, (report) =>
        process.stdout.write(`${report.outcome}: ${report.name} (${report.failed} tests failed)\n`),
      );
      const caught = reports.filter((report) => report.outcome === "caught").length;
      process.stdout.write(`${caught} passed, ${reports.length - caught} failed\n`);
      process.exitCode = caught === reports.length ? 0 : 1;
    });
}
