import { test } from "node:test";
import { expect } from "earl";
import { LoadMonitor } from "./loadMonitor.js";

/** Guards against processes that were overloaded without any log line (issue 45). */
test("event loop lag is logged with the reports of the components; without lag nothing is logged", () => {
  let now = 0;
  let processorMs = 0;
  let sample: () => void = () => undefined;
  const clock = {
    now: () => now,
    once: () => ({ stop: () => undefined }),
    every: (_ms: number, callback: () => void) => {
      sample = callback;
      return { stop: () => undefined };
    },
  };
  const lines: object[] = [];
  const log = { report: (_text: string, context: object = {}) => void lines.push(context) };
  const monitor = new LoadMonitor(clock, log, () => processorMs);
  monitor.add("rpc", () => ({ fields: { relayed: 3 }, isNotable: false }));
  monitor.start();
  const advance = (ms: number): void => {
    now += ms;
    sample();
  };
  for (let i = 0; i < 4; i += 1) advance(LoadMonitor.sampleMs);
  expect(lines).toEqual([]);
  processorMs = 650;
  advance(LoadMonitor.sampleMs);
  advance(LoadMonitor.sampleMs + 800);
  expect(lines).toEqual([{ loopLagMs: 800, worstLoopLagMs: 800, processorShare: 0.5, rpc: '{"relayed":3}' }]);
});
