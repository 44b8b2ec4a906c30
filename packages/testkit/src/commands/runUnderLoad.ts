import { Deployments } from "../fleet/deployments.js";
import { Fleet } from "../fleet/fleet.js";
import { Load } from "../fleet/load.js";
import { folderOf, settingsOf, type FleetOptions } from "./sharedOptions.js";

/** Options of `load` and `drill`. */
export interface LoadOptions extends FleetOptions {
  /** Share of the deployment's load. */
  share: number;
}

/**
 * Starts a fleet under load, runs `meanwhile`, checks the clients' history and prints the report as JSON. Exit code 0
 * if `meanwhile` was good, no rule was broken and no process exited unexpectedly.
 */
export async function runUnderLoad(
  name: string,
  options: LoadOptions,
  relayed: readonly string[],
  meanwhile: (fleet: Fleet, load: Load) => Promise<{ isGood: boolean } & object>,
): Promise<void> {
  const fleet = new Fleet(Deployments.find(name), folderOf(options.folder), relayed, settingsOf(options.set));
  const load = new Load(fleet);
  try {
    await fleet.start();
    await fleet.waitForShardLeaders();
    await load.connectClients(Math.min(1, options.share));
    load.startTraffic(options.share);
    const { isGood, ...more } = await meanwhile(fleet, load);
    const leasesLost = await fleet.leasesLost();
    const report = await load.finish();
    const whole = { ...report, breaches: report.breaches.length, fallen: fleet.unexpectedExits, leasesLost, ...more };
    process.stdout.write(`${JSON.stringify(whole, null, 2)}\n`);
    for (const breach of report.breaches.slice(0, 20)) process.stdout.write(`${breach.rule}: ${breach.text}\n`);
    process.exitCode = isGood && report.breaches.length === 0 && fleet.unexpectedExits.length === 0 ? 0 : 1;
  } finally {
    load.halt();
    await fleet.stop();
  }
}
