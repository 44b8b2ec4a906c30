import { SimClock } from "./simClock.js";
import type { SimFleet } from "./simFleet.js";
import type { SimChance } from "./simChance.js";
import { Caller } from "../caller.js";
import { History } from "../../mark/history.js";

export interface SimSpaces {
  shared: string;
  broadcast: string;
  topics: number;
}

/** Callers and operators against a simulated fleet. */
export class SimLoad {
  readonly history = new History();
  readonly callers: Caller[] = [];
  readonly #fleet: SimFleet;
  readonly #chance: SimChance;
  readonly #clock: SimClock;
  readonly #zones = new Map<string, string>();
  #isPlaying = false;
  #mark = 0;

  constructor(fleet: SimFleet) {
    this.#fleet = fleet;
    this.#chance = fleet.world.chance.fork();
    this.#clock = new SimClock(fleet.world, { isDead: false, pausedUntil: 0 });
  }

  static plan(mark: number, spaces: readonly string[] = ["notes", "notices"]): object {
    const all: Record<string, object> = {
      notes: {
        name: "notes",
        program: [{ when: {}, owe: { keep: 120, order: "sender", fault_budget: { machines: 1 } } }],
      },
      notices: {
        name: "notices",
        program: [
          {
            when: {},
            owe: { keep: 300, order: "one", fault_budget: { machines: 1, zones: 1 }, publishers: ["sender-*"] },
          },
        ],
      },
      extra: { name: "extra", program: [{ when: {}, owe: { keep: 60, order: "one", fault_budget: {} } }] },
    };
    return { mark, spaces: spaces.map((space) => all[space]) };
  }

  get nextMark(): number {
    return (this.#mark += 1);
  }

  /** An operator's put, tried again until it has a final receipt. */
  async putPlan(plan: { mark?: number; spaces?: unknown }): Promise<number> {
    const text = JSON.stringify(plan);
    for (let tries = 0; tries < 100; tries += 1) {
      const receipt = await this.#fleet.port.call(this.#chance.pick(this.#fleet.names), "PUT", "/v1/plan", text);
      if (receipt.status === 200)
        this.history.add({ kind: "planAccepted", at: this.#clock.now(), mark: plan.mark!, text });
      if (receipt.status !== 503 && receipt.status !== 504 && receipt.status !== 0) return receipt.status;
      await new Promise<void>((resolve) => void this.#clock.once(300, resolve));
    }
    return 0;
  }

  async begin(callers: number, topics = 6, later: readonly string[] = []): Promise<boolean> {
    for (const name of this.#fleet.names) if (!later.includes(name)) this.#fleet.start(name);
    let isAccepted = false;
    await this.#fleet.run(3000);
    void this.putPlan({ ...SimLoad.plan(this.nextMark) }).then((status) => void (isAccepted = status === 200));
    if (!(await this.#fleet.until(() => isAccepted, 20_000))) return false;
    const zones = [...new Set(this.#fleet.names.map((name) => this.#fleet.zoneOf(name)))];
    for (let i = 0; i < callers; i += 1) {
      const session = i < 2 ? `sender-${i + 1}` : `caller-${i + 1}`;
      this.#zones.set(session, zones[i % zones.length]!);
      const caller = new Caller({
        session,
        port: this.#fleet.port,
        clock: this.#clock,
        draw: () => this.#chance.draw(),
        history: this.history,
        nodes: () => this.#nodes(session),
      });
      this.callers.push(caller);
      const wanted = new Set([
        `notices/t0`,
        ...Array.from({ length: 3 }, () => `notes/t${Math.floor(this.#chance.draw() * topics)}`),
      ]);
      caller.start([...wanted]);
    }
    this.#topics = topics;
    return this.#fleet.until(() => this.callers.every((caller) => caller.isSettled), 25_000);
  }

  #topics = 6;

  /** Publishes at a rate until stopped. */
  play(perSecond: number): void {
    this.#isPlaying = true;
    const beat = this.#clock.every(1000 / perSecond, () => {
      if (!this.#isPlaying) return beat.stop();
      const isNotice = this.#chance.draw() < 0.25;
      const caller = isNotice ? this.callers[Math.floor(this.#chance.draw() * 2)]! : this.#chance.pick(this.callers);
      const topic = isNotice ? "notices/t0" : `notes/t${Math.floor(this.#chance.draw() * this.#topics)}`;
      void caller.publish(topic, this.#chance.identity());
    });
  }

  dropAll(): void {
    for (const caller of this.callers) caller.dropOff(this.#chance.draw() * 300);
  }

  moveOne(): void {
    const caller = this.#chance.pick(this.callers);
    this.#zones.set(caller.session, this.#chance.pick([...this.#zones.values()]));
    caller.dropOff(this.#chance.draw() * 2000);
  }

  /** Stops sending; true where all callers are served again and all publishes settled by the due. */
  async settle(dueMs: number): Promise<boolean> {
    this.#isPlaying = false;
    const isBack = await this.#fleet.until(() => this.callers.every((caller) => caller.isSettled), dueMs);
    const isSettled = await this.#fleet.until(
      () => this.callers.every((caller) => caller.isSettled && caller.open === 0),
      25_000,
    );
    await this.#fleet.run(3000);
    return isBack && isSettled;
  }

  /** Reads the plan back through any node that runs. */
  async readPlan(): Promise<void> {
    let isDone = false;
    void this.#read().then(() => void (isDone = true));
    await this.#fleet.until(() => isDone, 30_000);
  }

  async #read(): Promise<void> {
    for (let tries = 0; tries < 30; tries += 1) {
      const running = this.#fleet.names.filter((name) => this.#fleet.find(name) !== undefined);
      const receipt = await this.#fleet.port.call(this.#chance.pick(running), "GET", "/v1/plan", undefined);
      if (receipt.status === 200)
        return this.history.add({ kind: "planRead", at: this.#clock.now(), text: String(receipt.body["raw"]) });
      if (receipt.status === 404) break;
      await new Promise<void>((resolve) => void this.#clock.once(500, resolve));
    }
    this.history.add({ kind: "planLost", at: this.#clock.now(), why: "the plan could not be read back" });
  }

  #nodes(session: string): string[] {
    const edges = this.#fleet.withRole("vise").filter((name) => this.#fleet.find(name) !== undefined);
    const near = edges.filter((name) => this.#fleet.zoneOf(name) === this.#zones.get(session));
    return near.length > 0 && this.#chance.draw() < 0.7 ? near : edges;
  }
}
