import type { CAC } from "cac";
import { readFileSync, writeFileSync } from "node:fs";
import { Capacity } from "../capacity/capacity.js";
import { Slopes } from "../capacity/slopes.js";
import { SlopeRecord } from "../slopes/slopeRecord.js";

/** `capacity`: the capacity page's tables, from the recorded slopes. */
export function registerCapacity(cli: CAC): void {
  cli
    .command("capacity", "Print the capacity page's tables, computed from the recorded slopes")
    .option("--page <file>", "Write them into this page instead")
    .example("cranetrack-lab capacity --page docs/CAPACITY.md")
    .action((options: { page?: string }) => {
      const slopes = SlopeRecord.read();
      const faults = Slopes.faults(slopes, Capacity.needed);
      if (faults.length > 0) throw new Error(faults.join("\n"));
      if (options.page !== undefined)
        return writeFileSync(options.page, Capacity.fill(readFileSync(options.page, "utf8"), slopes));
      for (const table of Capacity.tables(slopes))
        process.stdout.write(`${table.id}\n\n${Capacity.markdown(table)}\n\n`);
    });
}
