import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { checkLinearizability } from "../checker/linearizability.js";
import { versionedRegister, type RegisterInput } from "../checker/versionedRegister.js";
import { Scenario } from "./scenario.js";
import { SimFleet } from "./simFleet.js";
import { OrderHistory, SimOperator } from "./simOperator.js";
import { StoreFaults, type StoreFault } from "./storeFaults.js";

interface Play {
  seed: number;
  controlCount: 3 | 5;
  lossOfAnswers: number;
  asked: Array<{ at: number; operator: number; input: RegisterInput }>;
  faults: StoreFault[];
}
const calmMs = 6000;

const put: fc.Arbitrary<RegisterInput> = fc.record({
  kind: fc.constant("put" as const),
  version: fc.integer({ min: 1, max: 8 }),
  content: fc.constantFrom("a", "b", "c"),
  isValid: fc.constantFrom(true, true, true, true, false),
});
const operator = fc.integer({ min: 0, max: 1 });
const asked: fc.Arbitrary<Play["asked"][number]> = fc.oneof(
  { weight: 2, arbitrary: fc.record({ at: StoreFaults.burst, operator, input: put }) },
  {
    weight: 1,
    arbitrary: fc.record({ at: StoreFaults.afterBurst, operator, input: fc.constant({ kind: "read" as const }) }),
  },
);
const play: fc.Arbitrary<Play> = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  controlCount: fc.constantFrom(3 as const, 5 as const),
  lossOfAnswers: fc.constantFrom(0, 0.3, 0.6),
  asked: fc.array(asked, { minLength: 30, maxLength: 50 }),
  faults: StoreFaults.arbitrary,
});

/** Operators on all sides while troubles come and go; then all that was clearly answered is asked once more. */
async function played({ seed, controlCount, lossOfAnswers, asked, faults }: Play): Promise<OrderHistory> {
  const fleet = new SimFleet(seed, Scenario.machines(controlCount, 0, 0));
  const history = new OrderHistory();
  const operators = [0, 1].map(() => new SimOperator(fleet, history, lossOfAnswers));
  fleet.startAll();
  expect(await fleet.until(() => fleet.leader !== undefined, 15_000)).toEqual(true);
  const start = fleet.world.now;
  StoreFaults.schedule(fleet, faults);
  for (const { at: after, operator, input: order } of asked)
    fleet.world.at(start + after, () => void operators[operator]!.ask(contentOf(order)));
  await fleet.run(StoreFaults.maxBurstAtMs + calmMs);
  fleet.wires.heal();
  for (const name of fleet.withRole("lathe")) fleet.start(name);
  await fleet.run(calmMs);
  const last = new SimOperator(fleet, history, 0);
  const resolved = history.operations.filter(({ output }) => output !== undefined).map((one) => one.input);
  const again = new Map(resolved.map((one) => [JSON.stringify(one), one]));
  const answers: unknown[] = [];
  for (const one of [...again.values(), { kind: "read" } as const])
    void last.ask(one).then((answer) => answers.push(answer));
  expect(await fleet.until(() => answers.length === again.size + 1, 30_000)).toEqual(true);
  expect(answers.includes(undefined)).toEqual(false);
  return history;
}

/** A content is valid or not for good. */
function contentOf(order: RegisterInput): RegisterInput {
  return order.kind === "put" && !order.isValid ? { ...order, content: `bad ${order.content}` } : order;
}

test("operators' orders and reads are linearizable under cuts, kills, freezes and lost answers", async (context) => {
  const met = { operations: 0, acknowledged: 0, refused: 0, invalid: 0, content: 0, unknown: 0 };
  await fc.assert(
    fc.asyncProperty(play, async (one) => {
      const { operations } = await played(one);
      for (const { output } of operations) met[output?.kind ?? "unknown"] += 1;
      met.operations += operations.length;
      const verdict = checkLinearizability(versionedRegister, operations);
      expect(verdict.kind === "linearizable" ? verdict.kind : verdict).toEqual("linearizable");
    }),
    { seed: 17, numRuns: Number(process.env["ORDER_HISTORIES"] ?? 25), endOnFailure: true },
  );
  context.diagnostic(JSON.stringify(met));
  // The histories are worth the check: every kind of outcome is in them, many times.
  for (const kind of ["acknowledged", "refused", "invalid", "content", "unknown"] as const)
    expect([kind, met[kind] > 50]).toEqual([kind, true]);
});
