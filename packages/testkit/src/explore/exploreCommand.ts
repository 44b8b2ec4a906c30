import { readFileSync } from "node:fs";
import type { Action } from "./action.js";
import { ExhaustiveSearch } from "./exhaustiveSearch.js";
import { RandomWalk, type WalkReport } from "./randomWalk.js";
import { profiles } from "./profiles.js";
import { scenarios, searchOf } from "./scenarios.js";
import { Trace, type FoundTrace } from "./trace.js";
import type { WorldSettings } from "./modelWorld.js";
import type { PropertyName } from "./violation.js";

export interface ExploreOptions {
  seed: number;
  walks: number;
  steps: number;
  machines: number;
  voters: number;
  profiles: string;
  search?: string;
  depth?: number;
  states: number;
  ignore?: string;
  replay?: string;
}

const shrinkMs = 60_000;

type Say = (text: string) => void;

/** `cranetrack-lab explore`: false where a property was broken. */
export async function explore(options: ExploreOptions, say: Say): Promise<boolean> {
  const ignored = (options.ignore?.split(",") ?? []) as PropertyName[];
  if (options.replay !== undefined) return replay(options.replay, say);
  if (options.search !== undefined) return search(options, ignored, say);
  return walk(options, ignored, say);
}

async function walk(options: ExploreOptions, ignored: PropertyName[], say: Say): Promise<boolean> {
  const { seed, walks, steps, machines, voters } = options;
  const names = options.profiles.split(",");
  const unknown = names.filter((name) => profiles[name] === undefined);
  if (unknown.length > 0)
    throw new Error(`no profile ${unknown.join()}; there are ${Object.keys(profiles).join(", ")}`);
  const world: WorldSettings = { machines, voters, syncsAtOnce: false, isTended: names.includes("tended"), ignored };
  const report = await new RandomWalk({ world, profiles: names, seed, walks, steps, shrinkMs }).run();
  say(
    `seed ${seed}: ${report.walks} walks, ${report.states} states, ${perSecond(report)}, longest ${report.longest}\n`,
  );
  say(report.coverage.lines.map((line) => `  ${line}\n`).join(""));
  return reportViolation(world, report, say);
}

async function search(options: ExploreOptions, ignored: PropertyName[], say: Say): Promise<boolean> {
  const chosen = scenarios.filter(({ name }) => options.search === "all" || name === options.search);
  if (chosen.length === 0)
    throw new Error(`no scenario ${options.search}; all, ${scenarios.map((one) => one.name).join(", ")}`);
  let isGood = true;
  for (const scenario of chosen) {
    const world = { ...scenario.world, ignored };
    const bounds = { maxStates: options.states, shrinkMs };
    const settings = await searchOf({ ...scenario, world, depth: options.depth ?? scenario.depth }, bounds);
    const report = await new ExhaustiveSearch(settings).run();
    const extent = report.isWhole ? "all of it" : "not all of the next level";
    say(`${scenario.name}: depth ${report.depth}, ${extent}, ${report.states} states, ${perSecond(report)}\n`);
    say(report.coverage.lines.map((line) => `  ${line}\n`).join(""));
    isGood = reportViolation(world, report, say) && isGood;
  }
  return isGood;
}

async function replay(file: string, say: Say): Promise<boolean> {
  const { settings, trace } = JSON.parse(readFileSync(file, "utf8")) as { settings: WorldSettings; trace: Action[] };
  const found = await Trace.play(settings, trace);
  say(found === undefined ? `good: ${trace.length} actions break nothing\n` : `${found.violation.message}\n`);
  return found === undefined;
}

function perSecond({ states, ms }: Pick<WalkReport, "states" | "ms">): string {
  return `${Math.round((states * 1000) / ms)} a second`;
}

function reportViolation(world: WorldSettings, { violation, trace }: Partial<FoundTrace>, say: Say): boolean {
  if (violation === undefined || trace === undefined) return true;
  say(`BROKEN ${violation.message}\n\n${Trace.test(world, { violation, trace })}\n`);
  say(`${JSON.stringify({ settings: world, trace })}\n`);
  return false;
}
