import type { CAC } from "cac";
import { Deployments } from "../fleet/deployments.js";
import { Fleet } from "../fleet/fleet.js";
import { folderOf, settingsOf, type FleetOptions } from "./sharedOptions.js";

/** `fleet`: runs all processes of a deployment until interrupted, for manual inspection and trials. */
export function registerFleet(cli: CAC): void {
  cli
    .command("fleet <deployment>", "Start a whole fleet on this machine and run it until interrupted")
    .option("--folder <folder>", "Where settings, data and logs go")
    .example("cranetrack-lab fleet small --folder /tmp/cranetrack-fleet")
    .action(async (name: string, options: FleetOptions) => {
      const fleet = new Fleet(Deployments.find(name), folderOf(options.folder), [], settingsOf(options.set));
      process.on("SIGINT", () => void fleet.stop().then(() => process.exit(0)));
      await fleet.start();
      for (const member of fleet.names) process.stdout.write(`${member}  http://${fleet.httpOf(member)}\n`);
      process.stdout.write("ready; interrupt to stop\n");
    });
}
