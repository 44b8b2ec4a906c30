import { join } from "node:path";
import type { CAC } from "cac";
import { Deployments } from "../fleet/deployments.js";
import { Fleet } from "../fleet/fleet.js";
import { Soak, type SoakProfile, type SoakReport } from "../fleet/soak.js";
import { knownName } from "../names/knownName.js";
import { folderOf, settingsOf, type FleetOptions } from "./sharedOptions.js";

interface SoakOptions extends FleetOptions {
  seconds: number;
  from: number;
  seeds: number;
  profile: SoakProfile;
  share: number;
}

/** Deployments with this prefix are run with the programs of the deploy file. */
const platformPrefix = "platform-";

async function soakOnce(name: string, seed: number, options: SoakOptions): Promise<SoakReport> {
  const deployment = Deployments.find(name);
  const relayed = Deployments.machines(deployment).map((machine) => machine.name);
  const folder = join(folderOf(options.folder), `seed-${seed}`);
  const fleet = new Fleet(deployment, folder, relayed, settingsOf(options.set));
  const soak = new Soak(fleet, seed);
  try {
    await fleet.start();
    await fleet.waitForShardLeaders();
    return await soak.run(options.seconds, options.profile);
  } finally {
    soak.halt();
    await fleet.stop();
  }
}

function printReport({ breaches, faults, ...figures }: SoakReport): void {
  // Scripts parse this line, so its keys must not change.
  process.stdout.write(`${JSON.stringify({ ...figures, troubles: faults.length, breaches: breaches.length })}\n`);
  for (const { rule, text } of breaches.slice(0, 10)) process.stdout.write(`  ${rule}: ${text}\n`);
  if (breaches.length > 0)
    for (const { kind, name, from, to } of faults) process.stdout.write(`  ${from} to ${to}: ${kind} ${name}\n`);
}

async function soakPlatform(name: string, { from, seeds, seconds, share }: SoakOptions): Promise<number> {
  const { runPlatformSoaks } = await import("@cranetrack/platform/soak/runPlatformSoaks.js");
  return runPlatformSoaks(name, { from, seeds, seconds, share });
}

async function soakFleet(name: string, options: SoakOptions): Promise<number> {
  knownName("profile", options.profile, ["any", "disks"]);
  let failedSeeds = 0;
  for (let seed = options.from; seed < options.from + options.seeds; seed += 1) {
    const report = await soakOnce(name, seed, options);
    if (report.breaches.length > 0) failedSeeds += 1;
    printReport(report);
  }
  return failedSeeds;
}

/** `soak`: injects overlapping random faults into real processes, with a new fleet and history for each seed. */
export function registerSoak(cli: CAC): void {
  cli
    .command(
      "soak <deployment>",
      "Run real processes under overlapping random faults and check them, one seed after the other",
    )
    .option("--seconds <n>", "How long faults are injected for each seed", { default: 60 })
    .option("--from <seed>", "First seed", { default: 1 })
    .option("--seeds <n>", "How many seeds", { default: 5 })
    .option("--profile <name>", "any, or disks: one disk lost after the other at the users' shortest interval", {
      default: "any",
    })
    .option("--share <share>", "Processor share of each machine, for the platform deployments", {
      default: 1,
    })
    .option("--folder <folder>", "Where settings, data and logs go")
    .example("cranetrack-lab soak control --seconds 30 --seeds 2")
    .example("cranetrack-lab soak platform-control --share 0.5 --seeds 2")
    .action(async (name: string, options: SoakOptions) => {
      const soak = name.startsWith(platformPrefix) ? soakPlatform : soakFleet;
      const failed = await soak(name, options);
      process.stdout.write(`${options.seeds - failed} passed, ${failed} failed\n`);
      process.exitCode = failed === 0 ? 0 : 1;
    });
}
