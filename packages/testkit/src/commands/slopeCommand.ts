import type { CAC } from "cac";
import { Slopes } from "../capacity/slopes.js";
import { SlopeRecord } from "../slopes/slopeRecord.js";

/** `slope`: measures one of the slopes from which the capacity page is computed. */
export function registerSlope(cli: CAC): void {
  cli
    .command("slope <name>", "Measure one slope of the capacity page, at several sizes")
    .option("--sizes <list>", "Other sizes, separated by commas")
    .option("--only <size>", "Print only the cost of one size")
    .option("--record", "Record the result; the page is computed from recorded results")
    .example("cranetrack-lab slope feed --sizes 800,1600")
    .action(async (name: string, options: { sizes?: string | number; only?: number; record?: boolean }) => {
      if (options.only !== undefined) {
        process.stdout.write(`${Math.round(await SlopeRecord.find(name).run(options.only))}\n`);
        process.exit(0);
      }
      const sizes = options.sizes === undefined ? undefined : String(options.sizes).split(",").map(Number);
      const measured = SlopeRecord.measure(name, sizes);
      if (options.record === true) SlopeRecord.write(name, measured);
      process.stdout.write(`${JSON.stringify({ ...measured, ...Slopes.fit(measured.points) })}\n`);
    });
}
