/**
 * Entry point of the model checker of the replicated log. The production consensus code runs on a model of clock,
 * network and disk (`ModelWorld`), where each step is an action that a random walk or an exhaustive search selects;
 * `Observer` and `ModelClients` check properties after each. A violation is printed as the source of a test and as a
 * line of JSON for `--replay`.
 */

import { readFileSync } from "node:fs";
import type { Action } from "./action.js";
import { ExhaustiveSearch } from "./exhaustiveSearch.js";
import { RandomWalk, type WalkReport } from "./randomWalk.js";
import { knownName, knownNames } from "../names/knownName.js";
import { profiles } from "./profiles.js";
import { scenarios, searchSettingsOf } from "./scenarios.js";
import { Trace, type FoundTrace } from "./trace.js";
import type { WorldSettings } from "./modelWorld.js";
import type { PropertyName } from "./violation.js";

/** Options of `cranetrack-lab explore`. */
export interface ExploreOptions {
  seed: number;
  walks: number;
  steps: number;
  machines: number;
  voters: number;
  /** Names of walk profiles, separated by commas. */
  profiles: string;
  /** Name of the scenario to search exhaustively, or "all"; without it random walks run. */
  search?: string;
  depth?: number;
  /** Most states of an exhaustive search. */
  states: number;
  /** Names of properties to ignore, separated by commas. */
  ignore?: string;
  /** File with a printed trace to play again. */
  replay?: string;
}

/** How long a failing list of actions is shrunk, in milliseconds. */
const shrinkMs = 60_000;

/** Writes text to the output of the command. */
type Print = (text: string) => void;

/** Runs `cranetrack-lab explore`; false if a property was violated. */
export async function explore(options: ExploreOptions, print: Print): Promise<boolean> {
  const ignored = (options.ignore?.split(",") ?? []) as PropertyName[];
  if (options.replay !== undefined) return replay(options.replay, print);
  if (options.search !== undefined) return search(options, ignored, print);
  return walk(options, ignored, print);
}

async function walk(options: ExploreOptions, ignored: PropertyName[], print: Print): Promise<boolean> {
  const { seed, walks, steps, machines, voters } = options;
  const names = knownNames("profile", options.profiles, Object.keys(profiles))!;
  const world: WorldSettings = { machines, voters, syncsAtOnce: false, isTended: names.includes("tended"), ignored };
  const report = await new RandomWalk({ world, profiles: names, seed, walks, steps, shrinkMs }).run();
  print(
    `seed ${seed}: ${report.walks} walks, ${report.states} states, ${perSecond(report)}, longest ${report.longest}\n`,
  );
  print(report.coverage.lines.map((line) => `  ${line}\n`).join(""));
  return reportViolation(world, report, print);
}

async function search(options: ExploreOptions, ignored: PropertyName[], print: Print): Promise<boolean> {
  const name = knownName("scenario", options.search!, ["all", ...scenarios.map((scenario) => scenario.name)]);
  const chosen = scenarios.filter((scenario) => name === "all" || scenario.name === name);
  let holds = true;
  for (const scenario of chosen) {
    const world = { ...scenario.world, ignored };
    const bounds = { maxStates: options.states, shrinkMs };
    const settings = await searchSettingsOf({ ...scenario, world, depth: options.depth ?? scenario.depth }, bounds);
    const report = await new ExhaustiveSearch(settings).run();
    const extent = report.isWhole ? "all of it" : "not all of the next level";
    print(`${scenario.name}: depth ${report.depth}, ${extent}, ${report.states} states, ${perSecond(report)}\n`);
    print(report.coverage.lines.map((line) => `  ${line}\n`).join(""));
    holds = reportViolation(world, report, print) && holds;
  }
  return holds;
}

async function replay(file: string, print: Print): Promise<boolean> {
  const { settings, trace } = JSON.parse(readFileSync(file, "utf8")) as { settings: WorldSettings; trace: Action[] };
  const found = await Trace.play(settings, trace);
  print(found === undefined ? `good: ${trace.length} actions break nothing\n` : `${found.violation.message}\n`);
  return found === undefined;
}

function perSecond({ states, ms }: Pick<WalkReport, "states" | "ms">): string {
  return `${Math.round((states * 1000) / ms)} a second`;
}

function reportViolation(world: WorldSettings, { violation, trace }: Partial<FoundTrace>, print: Print): boolean {
  if (violation === undefined || trace === undefined) return true;
  print(`BROKEN ${violation.message}\n\n${Trace.testSource(world, { violation, trace })}\n`);
  print(`${JSON.stringify({ settings: world, trace })}\n`);
  return false;
}
