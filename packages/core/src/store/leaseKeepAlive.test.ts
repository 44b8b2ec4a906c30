import { test } from "node:test";
import { expect } from "earl";
import { LeaseKeepAlive } from "./leaseKeepAlive.js";
import type { Outcome } from "./storeClient.js";

interface Due {
  at: number;
  fire: () => void;
  every: number | undefined;
}

/** Time that a test moves by hand. */
class HandClock {
  time = 0;
  #dues: Due[] = [];

  now(): number {
    return this.time;
  }

  once(ms: number, fire: () => void): { stop(): void } {
    return this.#add({ at: this.time + ms, fire, every: undefined });
  }

  every(ms: number, fire: () => void): { stop(): void } {
    return this.#add({ at: this.time + ms, fire, every: ms });
  }

  async go(ms: number): Promise<void> {
    const end = this.time + ms;
    for (;;) {
      const next = this.#dues.filter((due) => due.at <= end).sort((a, b) => a.at - b.at)[0];
      if (next === undefined) break;
      this.time = next.at;
      if (next.every === undefined) this.#dues = this.#dues.filter((due) => due !== next);
      else next.at += next.every;
      next.fire();
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.time = end;
  }

  #add(due: Due): { stop(): void } {
    this.#dues.push(due);
    return { stop: () => void (this.#dues = this.#dues.filter((one) => one !== due)) };
  }
}

test("a leader counts from when it sent the renewal and stops before the store could expire it", async () => {
  const clock = new HandClock();
  let answer: (outcome: string) => void = () => undefined;
  const store = {
    call: () => new Promise<Outcome>((resolve) => (answer = (outcome) => resolve({ outcome }))),
  };
  const keepAlive = new LeaseKeepAlive("a", 4000, store, clock, { draw: () => 0, identity: () => "0123456789abcdef" });
  let lostAt = -1;
  keepAlive.on("lost", () => (lostAt = clock.now()));
  keepAlive.start();
  await clock.go(900);
  answer("done");
  await clock.go(0);
  expect(keepAlive.isHeld).toEqual(true);
  await clock.go(5000);
  expect(lostAt).toEqual(3601);
  expect(keepAlive.isHeld).toEqual(false);
});

test(
  "a holder that was frozen past its lease finds it lost on the first look, and a late " + "answer changes nothing",
  async () => {
    const clock = new HandClock();
    const answers: Array<(outcome: string) => void> = [];
    const store = {
      call: () => new Promise<Outcome>((resolve) => answers.push((outcome) => resolve({ outcome }))),
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
    await clock.go(1000);
    clock.time += 9000;
    expect(keepAlive.isHeld).toEqual(false);
    answers[1]!("done");
    await new Promise((resolve) => setImmediate(resolve));
    expect(keepAlive.lease === lease).toEqual(false);
  },
);
