import { Lateness } from "../checker/lateness.js";
import type { HistoryEvent } from "../checker/history.js";
import type { Fleet } from "./fleet.js";
import type { Load } from "./load.js";
import type { Probe } from "./probe.js";

/** One injected fault. Times are milliseconds of the load's clock. */
export interface ChaosDrillStep {
  what: string;
  /** When it was injected, and when service had recovered. */
  from: number;
  to: number;
  /** From the machines' return until every node was ready. */
  readyMs: number;
  /** From the machines' return until a message of every client had reached its readers. */
  backMs: number;
}

/** Delivery delays during a step, in milliseconds from the first publish attempt to the reader. */
export interface StepDelays {
  what: string;
  backMs: number;
  deliveries: number;
  p50: number;
  p99: number;
  max: number;
  above2000: number;
}

type Target = (typeof ChaosDrill.targets)[number];

/** Injects one fault after the other into a real fleet under load and measures how long service takes to recover. */
export class ChaosDrill {
  /** How long recovery from a fault may take. */
  static readonly maxRecoveryMs = 12_000;
  /** The kinds of machines into which a fault is injected; also the values of `--targets`. */
  static readonly targets = ["edge", "holder", "proposer"] as const;
  /** All drills; also the values of `--only`. */
  static readonly names = [
    "kill",
    "freeze",
    "cut",
    "slow",
    "cycle",
    "reset",
    "move",
    "wipe",
    "zone",
    "settings",
    "changeConfiguration",
    "blackout",
  ];
  readonly #fleet: Fleet;
  readonly #load: Load;
  readonly #report: (step: ChaosDrillStep) => void;
  /** The steps that are over. */
  readonly steps: ChaosDrillStep[] = [];

  constructor(fleet: Fleet, load: Load, report: (step: ChaosDrillStep) => void = () => undefined) {
    this.#report = report;
    this.#fleet = fleet;
    this.#load = load;
  }

  /**
   * Runs the named drills. Drills on single machines run once for each target: an edge, a machine that leads shards,
   * and the control node that leads the control group. Throws on an unknown name.
   */
  async run(names: readonly string[], targets: readonly Target[] = ChaosDrill.targets): Promise<void> {
    const injectOnEachTarget = async (inject: (name: string, target: Target) => Promise<void>): Promise<void> => {
      for (const target of targets) await inject(await this.#findTarget(target), target);
    };
    const drills: Record<string, () => Promise<void>> = {
      kill: () => injectOnEachTarget((name, target) => this.kill([name], target)),
      freeze: () => injectOnEachTarget((name, target) => this.freeze(name, 5000, target)),
      cut: () => injectOnEachTarget((name, target) => this.cut(name, 5000, target)),
      slow: () => injectOnEachTarget((name, target) => this.slow(name, 5000, target)),
      cycle: () => injectOnEachTarget((name, target) => this.terminate(name, target)),
      reset: () => this.#injectAndMeasure("nearly all links reset", async () => this.#load.resetAll()),
      move: () => this.#injectAndMeasure("everybody comes to one zone", async () => this.#load.moveAll()),
      wipe: () =>
        injectOnEachTarget((name, target) => (target === "edge" ? Promise.resolve() : this.wipe(name, target))),
      zone: () => this.zone(),
      settings: () => this.settings(),
      changeConfiguration: () =>
        this.#injectAndMeasure("five plans at once, one stale, one broken", () => this.#load.changeConfiguration()),
      blackout: () => this.kill(this.#fleet.names, "everything"),
    };
    for (const name of names) {
      const drill = drills[name];
      if (drill === undefined) throw new Error(`there is no drill ${name}: ${ChaosDrill.names.join(", ")}`);
      await drill();
    }
  }

  /** Sends SIGKILL to the processes and starts them again. */
  kill(names: readonly string[], what: string): Promise<void> {
    return this.#injectAndMeasure(`SIGKILL ${what}`, async () => {
      await Promise.all(names.map((name) => this.#fleet.endProcess(name, "SIGKILL")));
      await this.#wait(names.length > 1 ? 500 : 4000);
      for (const name of names) this.#fleet.launch(name);
    });
  }

  /** Sends SIGTERM to the process and starts it again; throws if SIGTERM did not suffice. */
  terminate(name: string, what: string): Promise<void> {
    return this.#injectAndMeasure(`SIGTERM ${what}`, async () => {
      if (!(await this.#fleet.terminate(name))) throw new Error(`${name} had to be killed after SIGTERM`);
      this.#fleet.launch(name);
    });
  }

  /** Stops the process for longer than every lease lasts, then continues it. */
  freeze(name: string, ms: number, what: string): Promise<void> {
    return this.#injectAndMeasure(`SIGSTOP ${what}`, async () => {
      this.#fleet.signal(name, "SIGSTOP");
      await this.#wait(ms);
      this.#fleet.signal(name, "SIGCONT");
    });
  }

  /** Drops all data on connections that others opened to a relayed machine for a while, then closes them. */
  cut(name: string, ms: number, what: string): Promise<void> {
    return this.#injectAndMeasure(`cut ${what}`, async () => {
      this.#fleet.relayOf(name).setMode("silent");
      await this.#wait(ms);
      this.#fleet.relayOf(name).setMode("reset");
      this.#fleet.relayOf(name).setMode("open");
    });
  }

  /** Delays all data on connections that others opened to a relayed machine by 250 ms for a while. */
  slow(name: string, ms: number, what: string): Promise<void> {
    return this.#injectAndMeasure(`slow ${what}`, async () => {
      this.#fleet.relayOf(name).setMode("open", 250);
      await this.#wait(ms);
      this.#fleet.relayOf(name).setMode("open");
    });
  }

  /** Sends SIGKILL and deletes the data folder, so that the replica must be repaired from others. */
  wipe(name: string, what: string): Promise<void> {
    return this.#injectAndMeasure(`disk of ${what} lost`, async () => {
      await this.#fleet.endProcess(name, "SIGKILL");
      this.#fleet.wipe(name);
      this.#fleet.launch(name);
    });
  }

  /** Kills all processes of one zone and starts them again after 4 s. */
  zone(): Promise<void> {
    const zone = this.#fleet.zoneOf("anvil-3");
    const names = this.#fleet.names.filter((name) => this.#fleet.zoneOf(name) === zone);
    return this.#injectAndMeasure("SIGKILL a zone", async () => {
      await Promise.all(names.map((name) => this.#fleet.endProcess(name, "SIGKILL")));
      await this.#wait(4000);
      for (const name of names) this.#fleet.launch(name);
    });
  }

  /** Changes every node's settings file, signals half of the nodes, and changes the files back. */
  settings(): Promise<void> {
    return this.#injectAndMeasure("settings changed", async () => {
      this.#fleet.names.forEach((name, i) => {
        this.#fleet.changeSettings(name, { mostLinks: 1900 });
        if (i % 2 === 0) this.#fleet.signal(name, "SIGHUP");
      });
      await this.#wait(3000);
      for (const name of this.#fleet.names) this.#fleet.changeSettings(name, { mostLinks: 2000 });
    });
  }

  /** The delivery delays during each step, from the fault until service had recovered. */
  delays(seen: readonly HistoryEvent[]): StepDelays[] {
    const deliveries = Lateness.deliveries(seen);
    return this.steps.map(({ what, from, to, backMs }) => {
      const delays = deliveries.filter(({ triedAt }) => triedAt >= from && triedAt <= to).map(({ delay }) => delay);
      return { what, backMs, ...Lateness.summarize(delays) };
    });
  }

  async #findTarget(target: Target): Promise<string> {
    const withHighestCount = (names: readonly string[], counted: readonly string[]): string => {
      const count = (name: string): number => counted.filter((one) => one === name).length;
      return names.reduce((best, name) => (count(name) > count(best) ? name : best));
    };
    if (target === "edge")
      return withHighestCount(
        this.#fleet.withRole("vise"),
        this.#load.clients.map((client) => client.node),
      );
    if (target === "holder") return withHighestCount(this.#fleet.withRole("anvil"), await this.#fleet.shardLeaders());
    for (;;) {
      for (const name of this.#fleet.withRole("lathe")) {
        const { body } = await this.#fleet.call(name, "GET", "/v1/status");
        if ((body["raft"] as { isLeader?: boolean } | null | undefined)?.isLeader === true) return name;
      }
      await this.#wait(50);
    }
  }

  /** Injects a fault, then waits until every node is ready and a message of every client has reached its readers. */
  async #injectAndMeasure(what: string, inject: () => Promise<void>): Promise<void> {
    const from = this.#load.now;
    this.#load.isDisconnectPaused = true;
    await inject();
    const returnedAt = this.#load.now;
    let probe: Probe | undefined;
    const isBack = (): boolean => {
      if (this.#load.clients.every((client) => client.isFullySubscribed)) probe ??= this.#load.probe();
      return probe?.isRecovered === true;
    };
    const ready = this.#fleet.waitUntilReady().then((ms) => Math.round(ms));
    while (!isBack() && this.#load.now - returnedAt < 30_000) await this.#wait(20);
    const to = this.#load.now;
    const step = { what, from, to, readyMs: await ready, backMs: Math.round(to - returnedAt) };
    this.steps.push(step);
    this.#report(step);
    this.#load.isDisconnectPaused = false;
    await this.#wait(1500);
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}
