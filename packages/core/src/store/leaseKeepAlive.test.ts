import { test } from "node:test";
import { expect } from "earl";
import { LeaseKeepAlive } from "./leaseKeepAlive.js";
import type { StoreOutcome } from "./storeClient.js";

interface PendingTimer {
  at: number;
  fire: () => void;
  every: number | undefined;
}

/** A clock that a test advances explicitly. */
class ManualClock {
  time = 0;
  #timers: PendingTimer[] = [];

  now(): number {
    return this.time;
  }

  once(ms: number, fire: () => void): { stop(): void } {
    return this.#add({ at: this.time + ms, fire, every: undefined });
  }

  every(ms: number, fire: () => void): { stop(): void } {
    return this.#add({ at: this.time + ms, fire, every: ms });
  }

  async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    for (;;) {
      const next = this.#timers.filter((timer) => timer.at <= end).sort((a, b) => a.at - b.at)[0];
      if (next === undefined) break;
      this.time = next.at;
      if (next.every === undefined) this.#timers = this.#timers.filter((timer) => timer !== next);
      else next.at += next.every;
      next.fire();
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.time = end;
  }

  #add(timer: PendingTimer): { stop(): void } {
    this.#timers.push(timer);
    return { stop: () => void (this.#timers = this.#timers.filter((other) => other !== timer)) };
  }
}

test("a holder counts from when it sent the renewal and stops before the store could expire the lease", async () => {
  const clock = new ManualClock();
  let answer: (outcome: string) => void = () => undefined;
  const store = {
    call: () => new Promise<StoreOutcome>((resolve) => (answer = (outcome) => resolve({ outcome }))),
  };
  const keepAlive = new LeaseKeepAlive("a", 4000, store, clock, { draw: () => 0, identity: () => "0123456789abcdef" });
  let lostAt = -1;
  keepAlive.on("lost", () => (lostAt = clock.now()));
  keepAlive.start();
  await clock.advance(900);
  answer("done");
  await clock.advance(0);
  expect(keepAlive.isHeld).toEqual(true);
  await clock.advance(5000);
  expect(lostAt).toEqual(3601);
  expect(keepAlive.isHeld).toEqual(false);
});

test(
  "a holder that was paused past its lease finds it lost at the first check, and a late " + "answer changes nothing",
  async () => {
    const clock = new ManualClock();
    const answers: Array<(outcome: string) => void> = [];
    const store = {
      call: () => new Promise<StoreOutcome>((resolve) => answers.push((outcome) => resolve({ outcome }))),
    };
    const keepAlive = new LeaseKeepAlive("a", 4000, store, clock, {
      draw: () => 0,
      identity: () => "0123456789abcdef",
    });
    keepAlive.start();
    await new Promise((resolve) => setImmediate(resolve));
    answers[0]!("done");
    await new Promise((resolve) => setImmediate(resolve));
    const { lease } = keepAlive;
    expect(keepAlive.isHeld).toEqual(true);
    await clock.advance(1000);
    clock.time += 9000;
    expect(keepAlive.isHeld).toEqual(false);
    answers[1]!("done");
    await new Promise((resolve) => setImmediate(resolve));
    expect(keepAlive.lease === lease).toEqual(false);
  },
);
