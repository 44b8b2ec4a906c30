import type { CAC } from "cac";
import { Slopes } from "../capacity/slopes.js";
import { SlopeRecord } from "../slopes/slopeRecord.js";

/** `slope`: measures one of the slopes that the capacity page rests on. */
export function registerSlope(cli: CAC): void {
  cli
    .command("slope <name>", "Measure one slope of the capacity page, at several sizes")
    .option("--sizes <list>", "Other sizes, parted by commas")
    .option("--only <size>", "Print what one size costs, and nothing else")
    .option("--record", "Keep it: the page's figures follow from what is kept")
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
