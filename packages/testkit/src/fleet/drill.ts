import { Lateness } from "../checker/lateness.js";
import type { Seen } from "../checker/history.js";
import type { Fleet } from "./fleet.js";
import type { Load } from "./load.js";
import type { Probe } from "./probe.js";

export interface ChaosDrillStep {
  what: string;
  /** When it was caused, and when service was back. */
  from: number;
  to: number;
  readyMs: number;
  /** From the machines' return until a message of every caller had reached its readers. */
  backMs: number;
}
export interface StepDelays {
  what: string;
  backMs: number;
  deliveries: number;
  p50: number;
  p99: number;
  max: number;
  above2000: number;
}
type Target = "edge" | "holder" | "proposer";

/** Causes failures on a real fleet under load, one after the other, and measures how long service takes to be back. */
export class ChaosDrill {
  static readonly backMs = 12_000;
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
  readonly #say: (step: ChaosDrillStep) => void;
  readonly steps: ChaosDrillStep[] = [];

  constructor(fleet: Fleet, load: Load, say: (step: ChaosDrillStep) => void = () => undefined) {
    this.#say = say;
    this.#fleet = fleet;
    this.#load = load;
  }

  /**
   * The named drills; the first four on an edge, on a machine that holds shards, and on the control node that proposes.
   */
  async run(names: readonly string[], targets: readonly Target[] = ["edge", "holder", "proposer"]): Promise<void> {
    const each = async (act: (name: string, target: Target) => Promise<void>): Promise<void> => {
      for (const target of targets) await act(await this.#find(target), target);
    };
    const drills: Record<string, () => Promise<void>> = {
      kill: () => each((name, target) => this.kill([name], target)),
      freeze: () => each((name, target) => this.freeze(name, 5000, target)),
      cut: () => each((name, target) => this.cut(name, 5000, target)),
      slow: () => each((name, target) => this.slow(name, 5000, target)),
      cycle: () => each((name, target) => this.cycle(name, target)),
      reset: () => this.#cause("nearly all links reset", async () => this.#load.resetAll()),
      move: () => this.#cause("everybody comes to one zone", async () => this.#load.moveAll()),
      wipe: () => each((name, target) => (target === "edge" ? Promise.resolve() : this.wipe(name, target))),
      zone: () => this.zone(),
      settings: () => this.settings(),
      changeConfiguration: () =>
        this.#cause("five plans at once, one stale, one broken", () => this.#load.changeConfiguration()),
      blackout: () => this.kill(this.#fleet.names, "everything"),
    };
    for (const name of names) {
      const drill = drills[name];
      if (drill === undefined) throw new Error(`there is no drill ${name}: ${ChaosDrill.names.join(", ")}`);
      await drill();
    }
  }

  /** kill -9, then started again. */
  kill(names: readonly string[], what: string): Promise<void> {
    return this.#cause(`SIGKILL ${what}`, async () => {
      await Promise.all(names.map((name) => this.#fleet.end(name, "SIGKILL")));
      await this.#wait(names.length > 1 ? 500 : 4000);
      for (const name of names) this.#fleet.launch(name);
    });
  }

  /** Politely, and forcibly six seconds later. */
  cycle(name: string, what: string): Promise<void> {
    return this.#cause(`SIGTERM ${what}`, async () => {
      if (!(await this.#fleet.cycle(name))) throw new Error(`${name} had to be killed after SIGTERM`);
      this.#fleet.launch(name);
    });
  }

  /** Frozen past every lease, then let go on. */
  freeze(name: string, ms: number, what: string): Promise<void> {
    return this.#cause(`SIGSTOP ${what}`, async () => {
      this.#fleet.signal(name, "SIGSTOP");
      await this.#wait(ms);
      this.#fleet.signal(name, "SIGCONT");
    });
  }

  /** The cable of a relayed machine is pulled out, then put back: nothing that others send reaches it. */
  cut(name: string, ms: number, what: string): Promise<void> {
    return this.#cause(`cut ${what}`, async () => {
      this.#fleet.wire(name).set("silent");
      await this.#wait(ms);
      this.#fleet.wire(name).set("reset");
      this.#fleet.wire(name).set("open");
    });
  }

  /** Whatever reaches a relayed machine comes 250 ms late. */
  slow(name: string, ms: number, what: string): Promise<void> {
    return this.#cause(`slow ${what}`, async () => {
      this.#fleet.wire(name).set("open", 250);
      await this.#wait(ms);
      this.#fleet.wire(name).set("open");
    });
  }

  wipe(name: string, what: string): Promise<void> {
    return this.#cause(`disk of ${what} lost`, async () => {
      await this.#fleet.end(name, "SIGKILL");
      this.#fleet.wipe(name);
      this.#fleet.launch(name);
    });
  }

  /** All machines of one zone lose power for a while. */
  zone(): Promise<void> {
    const zone = this.#fleet.zoneOf("anvil-3");
    const names = this.#fleet.names.filter((name) => this.#fleet.zoneOf(name) === zone);
    return this.#cause("SIGKILL a zone", async () => {
      await Promise.all(names.map((name) => this.#fleet.end(name, "SIGKILL")));
      await this.#wait(4000);
      for (const name of names) this.#fleet.launch(name);
    });
  }

  /** Every node's settings file changes, half of them with a signal; then it is as it was. */
  settings(): Promise<void> {
    return this.#cause("settings changed", async () => {
      this.#fleet.names.forEach((name, i) => {
        this.#fleet.changeSettings(name, { mostLinks: 1900 });
        if (i % 2 === 0) this.#fleet.signal(name, "SIGHUP");
      });
      await this.#wait(3000);
      for (const name of this.#fleet.names) this.#fleet.changeSettings(name, { mostLinks: 2000 });
    });
  }

  /** What readers waited during each step, from its cause until service was back. */
  delays(seen: readonly Seen[]): StepDelays[] {
    const deliveries = Lateness.deliveries(seen);
    return this.steps.map(({ what, from, to, backMs }) => {
      const delays = deliveries.filter(({ triedAt }) => triedAt >= from && triedAt <= to).map(({ delay }) => delay);
      return { what, backMs, ...Lateness.figures(delays) };
    });
  }

  async #find(target: Target): Promise<string> {
    const most = (names: readonly string[], counted: readonly string[]): string => {
      const count = (name: string): number => counted.filter((one) => one === name).length;
      return names.reduce((best, name) => (count(name) > count(best) ? name : best));
    };
    if (target === "edge")
      return most(
        this.#fleet.withRole("vise"),
        this.#load.clients.map((client) => client.node),
      );
    if (target === "holder") return most(this.#fleet.withRole("anvil"), await this.#fleet.leaders());
    for (;;) {
      for (const name of this.#fleet.withRole("lathe")) {
        const { body } = await this.#fleet.call(name, "GET", "/v1/status");
        if ((body["raft"] as { isLeader?: boolean } | null | undefined)?.isLeader === true) return name;
      }
      await this.#wait(50);
    }
  }

  /** Causes it, and waits until every node is ready and a message of every caller has reached its readers. */
  async #cause(what: string, act: () => Promise<void>): Promise<void> {
    const from = this.#load.now;
    this.#load.isCalm = true;
    await act();
    const returnedAt = this.#load.now;
    let probe: Probe | undefined;
    const isBack = (): boolean => {
      if (this.#load.clients.every((client) => client.isSettled)) probe ??= this.#load.probe();
      return probe?.isBack === true;
    };
    const ready = this.#fleet.ready().then((ms) => Math.round(ms));
    while (!isBack() && this.#load.now - returnedAt < 30_000) await this.#wait(20);
    const to = this.#load.now;
    const step = { what, from, to, readyMs: await ready, backMs: Math.round(to - returnedAt) };
    this.steps.push(step);
    this.#say(step);
    this.#load.isCalm = false;
    await this.#wait(1500);
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}
