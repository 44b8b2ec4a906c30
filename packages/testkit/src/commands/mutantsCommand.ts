import type { CAC } from "cac";
import { fileURLToPath } from "node:url";
import { MutantRunner } from "../mutants/mutantRunner.js";
import { mutants } from "../mutants/mutants.js";

/** `mutants`: mutation testing; the test that a mutant names must fail on it. */
export function registerMutants(cli: CAC): void {
  cli
    .command("mutants", "Apply each mutant to a copy of the build and check that its test fails")
    .option("--at-once <n>", "How many to run at once", { default: 4 })
    .option("--only <text>", "Only mutants whose name contains this text", { default: "" })
    .example("cranetrack-lab mutants --only lease")
    .action(async (options: { atOnce: number; only: string }) => {
      const root = fileURLToPath(new URL("../../../..", import.meta.url));
      const chosen = mutants.filter(({ name }) => name.includes(options.only));
      if (chosen.length === 0) throw new Error(`no mutant's name contains "${options.only}"`);
      const reports = await new MutantRunner(root).run(chosen, options.atOnce, (report) =>
        process.stdout.write(`${report.outcome}: ${report.name} (${report.failed} tests failed)\n`),
      );
      const caught = reports.filter((report) => report.outcome === "caught").length;
      process.stdout.write(`${caught} passed, ${reports.length - caught} failed\n`);
      process.exitCode = caught === reports.length ? 0 : 1;
    });
}
