import type { Fleet } from "./fleet.js";
import type { Load } from "./load.js";

export interface DrillStep {
  what: string;
  readyMs: number;
  heldMs: number;
  backMs: number;
}

/** Causes failures on a real fleet under load, one after the other, and measures how long service takes to be back. */
export class Drill {
  static readonly backMs = 12_000;
  static readonly names = ["kill", "cycle", "freeze", "unplug", "slow", "reset", "wipe", "blackout"];

  readonly #fleet: Fleet;
  readonly #load: Load;
  readonly #say: (step: DrillStep) => void;
  readonly steps: DrillStep[] = [];

  constructor(fleet: Fleet, load: Load, say: (step: DrillStep) => void = () => undefined) {
    this.#say = say;
    this.#fleet = fleet;
    this.#load = load;
  }

  /** The named drills, each on every role that it is about. */
  async run(names: readonly string[]): Promise<void> {
    const drills: Record<string, () => Promise<void>> = {
      kill: () => this.#each(["vise-1", "anvil-1", "lathe-1"], (name) => this.kill([name])),
      cycle: () => this.#each(["vise-2", "anvil-2", "lathe-2"], (name) => this.cycle(name)),
      freeze: () => this.#each(["vise-1", "anvil-3", "lathe-3"], (name) => this.freeze(name, 7000)),
      unplug: () => this.#each(["vise-2", "anvil-2"], (name) => this.unplug(name, 6000)),
      slow: () => this.#each(["vise-2", "anvil-2"], (name) => this.slow(name, 5000)),
      reset: () => this.resetLinks(),
      wipe: () => this.#each(["lathe-1", "anvil-1"], (name) => this.wipe(name)),
      blackout: () => this.blackout(),
    };
    for (const name of names) {
      const drill = drills[name];
      if (drill === undefined) throw new Error(`there is no drill ${name}: ${Drill.names.join(", ")}`);
      await drill();
    }
  }

  async #each(names: readonly string[], act: (name: string) => Promise<void>): Promise<void> {
    for (const name of names) await act(name);
  }

  /** kill -9, then started again. */
  async kill(names: readonly string[]): Promise<void> {
    await Promise.all(names.map((name) => this.#fleet.end(name, "SIGKILL")));
    await this.#wait(500);
    for (const name of names) this.#fleet.launch(name);
    await this.#back(`SIGKILL ${names.join(" ")}`);
  }

  /** Politely, and forcibly six seconds later. */
  async cycle(name: string): Promise<void> {
    const isPolite = await this.#fleet.cycle(name);
    this.#fleet.launch(name);
    await this.#back(`SIGTERM ${name}${isPolite ? "" : " (had to be killed)"}`);
  }

  /** Frozen past every lease, then let go on. */
  async freeze(name: string, ms: number): Promise<void> {
    this.#fleet.signal(name, "SIGSTOP");
    await this.#wait(ms);
    this.#fleet.signal(name, "SIGCONT");
    await this.#back(`SIGSTOP ${name} for ${ms} ms`);
  }

  /** The cable of a relayed machine is pulled out, then put back. */
  async unplug(name: string, ms: number): Promise<void> {
    this.#fleet.wire(name).set("silent");
    await this.#wait(ms);
    this.#fleet.wire(name).set("reset");
    this.#fleet.wire(name).set("open");
    await this.#back(`cut ${name} for ${ms} ms`);
  }

  /** Whatever reaches a relayed machine comes 250 ms late. */
  async slow(name: string, ms: number): Promise<void> {
    this.#fleet.wire(name).set("open", 250);
    await this.#wait(ms);
    this.#fleet.wire(name).set("open");
    await this.#back(`${name} slow for ${ms} ms`);
  }

  async wipe(name: string): Promise<void> {
    await this.#fleet.end(name, "SIGKILL");
    this.#fleet.wipe(name);
    this.#fleet.launch(name);
    await this.#back(`disk of ${name} lost`);
  }

  async resetLinks(): Promise<void> {
    this.#load.resetAll();
    await this.#back("nearly all links reset");
  }

  /** Everything is killed and started again. */
  async blackout(): Promise<void> {
    await this.kill(this.#fleet.names);
  }

  /** Until every node is ready, every shard held and every caller confirmed again. */
  async #back(what: string): Promise<void> {
    const startedAt = performance.now();
    this.#load.isCalm = true;
    const isBack = (): boolean => this.#load.callers.every((caller) => caller.isSettled);
    await this.#fleet.ready();
    const readyMs = Math.round(performance.now() - startedAt);
    await this.#fleet.held();
    const heldMs = Math.round(performance.now() - startedAt);
    while (!isBack() && performance.now() - startedAt < 30_000) await this.#wait(50);
    const step = { what, readyMs, heldMs, backMs: Math.round(performance.now() - startedAt) };
    this.steps.push(step);
    this.#say(step);
    this.#load.isCalm = false;
    await this.#wait(1000);
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}
