#!/usr/bin/env node
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { cac } from "cac";
import { fileURLToPath } from "node:url";
import { mutants } from "./sabotage/sabotages.js";
import { MutantRunner } from "./sabotage/saboteur.js";
import { explore, type ExploreOptions } from "./explore/exploreCommand.js";
import { Deployments } from "./fleet/deployments.js";
import { Cost } from "./slopes/cost.js";
import { ChaosDrill } from "./fleet/drill.js";
import { Fleet } from "./fleet/fleet.js";
import { Load } from "./fleet/load.js";
import { Soak, type SoakProfile, type SoakReport } from "./fleet/soak.js";
import type { FaultName } from "./sim/faults.js";
import type { ScenarioReport } from "./sim/scenario.js";
import { CatchUp, type Comeback } from "./sim/catchUp.js";
import { measureJournalGrowth } from "./sim/journalGrowth.js";
import { Sweep } from "./sim/sweep.js";
import { Capacity } from "./capacity/capacity.js";
import { Slopes } from "./capacity/slopes.js";
import { SlopeRecord } from "./slopes/slopeRecord.js";

const cli = cac("jig");
cli.option("--set <list>", "Settings for all members, as key=number parted by commas");

const settingsOf = (list: string | undefined): Record<string, number> =>
  Object.fromEntries(
    (list ?? "")
      .split(",")
      .filter((part) => part !== "")
      .map((part) => [part.split("=")[0]!, Number(part.split("=")[1])]),
  );
const folderOf = (named: string | undefined): string => named ?? mkdtempSync(join(tmpdir(), "cranetrack-"));

cli
  .command("fleet <deployment>", "Start a whole fleet on this machine and keep it until interrupted")
  .option("--folder <folder>", "Where settings, data and logs go")
  .action(async (name: string, options: { folder?: string; set?: string }) => {
    const fleet = new Fleet(Deployments.find(name), folderOf(options.folder), [], settingsOf(options.set));
    process.on("SIGINT", () => void fleet.stop().then(() => process.exit(0)));
    await fleet.start();
    for (const member of fleet.names) process.stdout.write(`${member}  http://${fleet.httpOf(member)}\n`);
    process.stdout.write("ready; interrupt to stop\n");
  });

interface PlayOptions {
  share: number;
  folder?: string;
  set?: string;
}

/** A fleet under load, what happens to it meanwhile, and the callers' verdict. */
const play = async (
  name: string,
  options: PlayOptions,
  relayed: readonly string[],
  meanwhile: (fleet: Fleet, load: Load) => Promise<{ isGood: boolean } & object>,
): Promise<void> => {
  const fleet = new Fleet(Deployments.find(name), folderOf(options.folder), relayed, settingsOf(options.set));
  const load = new Load(fleet);
  try {
    await fleet.start();
    await fleet.held();
    await load.begin(Math.min(1, options.share));
    load.play(options.share);
    const { isGood, ...more } = await meanwhile(fleet, load);
    const leasesLost = await fleet.leasesLost();
    const report = await load.end();
    const whole = { ...report, breaches: report.breaches.length, fallen: fleet.fallen, leasesLost, ...more };
    process.stdout.write(`${JSON.stringify(whole, null, 2)}\n`);
    for (const breach of report.breaches.slice(0, 20)) process.stdout.write(`${breach.rule}: ${breach.text}\n`);
    process.exitCode = isGood && report.breaches.length === 0 && fleet.fallen.length === 0 ? 0 : 1;
  } finally {
    load.halt();
    await fleet.stop();
  }
};

cli
  .command(
    "load <deployment>",
    "Start a fleet, play the callers of that deployment against it, and judge what they saw",
  )
  .option("--seconds <n>", "How long the callers play", { default: 120 })
  .option("--share <n>", "Share of today's load", { default: 1 })
  .option("--folder <folder>", "Where settings, data and logs go")
  .action((name: string, options: PlayOptions & { seconds: number }) =>
    play(name, options, [], async (fleet, load) => {
      const configurationInForceMs = await load.takeUps(5);
      const memory: Array<Record<string, number>> = [];
      for (let part = 0; part < 4; part += 1) {
        await new Promise((resolve) => setTimeout(resolve, options.seconds * 250));
        memory.push(await fleet.memory());
      }
      return { isGood: true, configurationInForceMs, memory };
    }),
  );

cli
  .command("drill <deployment>", "Start a fleet under load and cause failures on real processes, one after the other")
  .option("--share <n>", "Share of today's load", { default: 1 })
  .option("--folder <folder>", "Where settings, data and logs go")
  .option("--only <list>", "Only these drills, parted by commas")
  .option("--targets <list>", "Only on these: edge, holder, proposer")
  .action((name: string, options: PlayOptions & { only?: string; targets?: string }) => {
    // Wires that can be cut run through this very process, which has the callers too: only where they are needed.
    const names = options.only?.split(",") ?? ChaosDrill.names;
    const needsWires = names.includes("cut") || names.includes("slow");
    const relayed = needsWires ? Deployments.machines(Deployments.find(name)).map((machine) => machine.name) : [];
    return play(name, options, relayed, async (fleet, load) => {
      const drill = new ChaosDrill(fleet, load, ({ what, readyMs, backMs }) =>
        process.stderr.write(`${what}: ready after ${readyMs}, service back after ${backMs} ms\n`),
      );
      const targets = options.targets?.split(",") as Array<"edge" | "holder" | "proposer"> | undefined;
      await drill.run(names, targets);
      const steps = drill.delays(load.history.seen);
      for (const step of steps) process.stderr.write(`${JSON.stringify(step)}\n`);
      return { isGood: drill.steps.every((step) => step.backMs <= ChaosDrill.backMs), steps };
    });
  });

interface SoakOptions {
  seconds: number;
  from: number;
  seeds: number;
  profile: SoakProfile;
  folder?: string;
  set?: string;
}

const soakOnce = async (name: string, seed: number, options: SoakOptions): Promise<SoakReport> => {
  const deployment = Deployments.find(name);
  const relayed = Deployments.machines(deployment).map((machine) => machine.name);
  const folder = join(folderOf(options.folder), `seed-${seed}`);
  const fleet = new Fleet(deployment, folder, relayed, settingsOf(options.set));
  const soak = new Soak(fleet, seed);
  try {
    await fleet.start();
    await fleet.held();
    return await soak.run(options.seconds, options.profile);
  } finally {
    soak.halt();
    await fleet.stop();
  }
};

cli
  .command(
    "soak <deployment>",
    "Real processes under random troubles that overlap, judged, for one seed after the other",
  )
  .option("--seconds <n>", "How long troubles go on for a seed", { default: 60 })
  .option("--from <seed>", "First seed", { default: 1 })
  .option("--seeds <n>", "How many seeds", { default: 5 })
  .option("--profile <name>", "any, or disks: one disk lost after the other as soon as users may", { default: "any" })
  .option("--folder <folder>", "Where settings, data and logs go")
  .action(async (name: string, options: SoakOptions) => {
    if (options.profile !== "any" && options.profile !== "disks") throw new Error("--profile: must be any or disks");
    let failed = 0;
    for (let seed = options.from; seed < options.from + options.seeds; seed += 1) {
      const { breaches, faults, ...figures } = await soakOnce(name, seed, options);
      if (breaches.length > 0) failed += 1;
      process.stdout.write(`${JSON.stringify({ ...figures, troubles: faults.length, breaches: breaches.length })}\n`);
      for (const { rule, text } of breaches.slice(0, 10)) process.stdout.write(`  ${rule}: ${text}\n`);
      if (breaches.length > 0)
        for (const { kind, name: at, from, to } of faults) process.stdout.write(`  ${from} to ${to}: ${kind} ${at}\n`);
    }
    process.stdout.write(`${options.seeds - failed} passed, ${failed} failed\n`);
    process.exitCode = failed === 0 ? 0 : 1;
  });

interface SimOptions {
  from: number;
  seeds: number;
  faults?: string;
  ms: number;
  atOnce: number;
  json?: boolean;
}

const tellSeed = ({ seed, breaches, accepted, received, events, trace, faults, backMs }: ScenarioReport): string => {
  const isGood = breaches.length === 0;
  const figures = `accepted ${accepted}  received ${received}  back ${Math.round(backMs)} ms  events ${events}`;
  const told = breaches.slice(0, 5).map(({ at, rule, text }) => `  ${Math.round(at)} ${rule}: ${text}\n`);
  const caused = isGood ? "" : `  faults: ${faults.join("; ")}\n`;
  return `seed ${seed}: ${isGood ? "good" : "BREACH"}  ${figures}  ${trace.slice(0, 12)}\n${told.join("")}${caused}`;
};

cli
  .command("sim", "Run seeded failure scenarios in the simulator")
  .option("--from <seed>", "First seed", { default: 1 })
  .option("--seeds <n>", "How many seeds", { default: 20 })
  .option("--faults <list>", "Only these faults, parted by commas")
  .option("--ms <n>", "How long faults rage, in virtual milliseconds", { default: 25_000 })
  .option("--at-once <n>", "How many at a time", { default: 1 })
  .option("--json", "A line of JSON for each seed")
  .action(async (options: SimOptions) => {
    const faults = options.faults?.split(",") as FaultName[] | undefined;
    const { from, seeds, ms, atOnce } = options;
    const sweep = new Sweep({ from, seeds, ms, faults, atOnce }, (report) =>
      process.stdout.write(options.json === true ? `${JSON.stringify(report)}\n` : tellSeed(report)),
    );
    if (atOnce > 1) await sweep.run(fileURLToPath(import.meta.url));
    else for (let seed = from; seed < from + seeds; seed += 1) sweep.take(await Sweep.run(seed, ms, faults));
    if (options.json !== true) process.stdout.write(sweep.text);
    process.exitCode = sweep.failed > 0 ? 1 : 0;
  });

cli
  .command("explore", "Model-check the replicated log: seeded random walks, or exhaustive search to a bounded depth")
  .option("--seed <n>", "Seed of the walks", { default: 1 })
  .option("--walks <n>", "How many walks", { default: 2000 })
  .option("--steps <n>", "Actions drawn for a walk", { default: 400 })
  .option("--machines <n>", "Machines, of which the first ones vote", { default: 3 })
  .option("--voters <n>", "How many vote at first", { default: 3 })
  .option("--profiles <list>", "What the walks are like", { default: "restarts,losses,frozen,everything" })
  .option("--search <scenario>", "Search exhaustively instead, from one scenario or from all")
  .option("--depth <n>", "Actions after the scenario's start")
  .option("--states <n>", "End a search after so many states", { default: 100_000 })
  .option("--ignore <list>", "Properties that are known to be broken")
  .option("--replay <file>", "Play a trace that was printed before")
  .action(async (options: ExploreOptions) => {
    process.exitCode = (await explore(options, (text) => process.stdout.write(text))) ? 0 : 1;
  });

cli
  .command("catch-up", "Measure how members of the store catch up after many big changes, and what that costs")
  .option("--changes <n>", "How many changes", { default: 500 })
  .option("--routes <n>", "Routes in each configuration", { default: 0 })
  .option("--document <bytes>", "Bytes of the operators' document", { default: 262_144 })
  .option("--seed <n>", "Seed", { default: 5 })
  .action(async (options: { changes: number; routes: number; document: number; seed: number }) => {
    const { changes, routes, seed, document: documentBytes } = options;
    const growth = await measureJournalGrowth(changes, 2 * documentBytes, 128_000_000);
    process.stdout.write(`${JSON.stringify(growth)}\n`);
    for (const comeback of ["restarted", "blank", "new"] as Comeback[])
      process.stdout.write(
        `${JSON.stringify(await CatchUp.run({ seed, comeback, changes, routes, documentBytes }))}\n`,
      );
  });

cli
  .command("cost", "Measure what processes cost one another: an idle fleet, and small calls")
  .option("--edges <list>", "Idle fleets with so many edges, parted by commas", { default: "6,54" })
  .option("--calls <n>", "How many calls", { default: 20_000 })
  .option("--json", "Only JSON")
  .action(async (options: { edges: string | number; calls: number; json?: boolean }) => {
    const calls = [await Cost.calls(options.calls, 1), await Cost.calls(options.calls, 50)];
    const idle = [];
    for (const edges of String(options.edges).split(",")) idle.push(await Cost.idle(Number(edges)));
    process.stdout.write(`${JSON.stringify({ calls, idle }, null, 2)}\n`);
    if (options.json === true) return;
    console.table(calls);
    console.table(idle.map(({ kinds, ...rest }) => ({ ...rest, gossip: kinds["gossip"] })));
  });

cli
  .command("slope <name>", "Measure one slope of the capacity page, at several sizes")
  .option("--sizes <list>", "Other sizes, parted by commas")
  .option("--only <size>", "Print what one size costs, and nothing else")
  .option("--record", "Keep it: the page's figures follow from what is kept")
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

cli
  .command("capacity", "Print the capacity page's tables, worked out from the slopes on record")
  .option("--page <file>", "Put them into that page instead")
  .action((options: { page?: string }) => {
    const slopes = SlopeRecord.read();
    const faults = Slopes.faults(slopes, Capacity.needed);
    if (faults.length > 0) throw new Error(faults.join("\n"));
    if (options.page !== undefined)
      return writeFileSync(options.page, Capacity.fill(readFileSync(options.page, "utf8"), slopes));
    for (const table of Capacity.tables(slopes)) process.stdout.write(`${table.id}\n\n${Capacity.markdown(table)}\n\n`);
  });

cli
  .command("sabotage", "Take one guard at a time out of a copy and see whether its test notices")
  .option("--at-once <n>", "How many at a time", { default: 4 })
  .option("--only <text>", "Only guards whose name has this text", { default: "" })
  .action(async (options: { atOnce: number; only: string }) => {
    const root = fileURLToPath(new URL("../../..", import.meta.url));
    const chosen = mutants.filter(({ name }) => name.includes(options.only));
    if (chosen.length === 0) throw new Error(`no guard's name has "${options.only}"`);
    const reports = await new MutantRunner(root).run(chosen, options.atOnce, (report) =>
      process.stdout.write(`${report.outcome}: ${report.name} (${report.failed} tests failed)\n`),
    );
    const caught = reports.filter((report) => report.outcome === "caught").length;
    process.stdout.write(`${caught} passed, ${reports.length - caught} failed\n`);
    process.exitCode = caught === reports.length ? 0 : 1;
  });

cli.help();
cli.version("0.1.0");
try {
  cli.parse(process.argv, { run: false });
  if (cli.matchedCommand === undefined && cli.options["help"] !== true && cli.options["version"] !== true) {
    cli.outputHelp();
    process.exitCode = 2;
  } else await cli.runMatchedCommand();
} catch (fault) {
  process.stderr.write(`${(fault as Error).message}\n`);
  process.exitCode = process.exitCode === undefined || process.exitCode === 0 ? 2 : process.exitCode;
}
