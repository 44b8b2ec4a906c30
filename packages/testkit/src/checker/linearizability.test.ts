import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { checkedKeys, type KeysInput, type KeysOutput } from "./checkedKeys.js";
import { checkLinearizability, type Operation, type SequentialModel } from "./linearizability.js";
import { versionedRegister, type OrderInput, type OrderOutput } from "./versionedRegister.js";

type OrderOperation = Operation<OrderInput, OrderOutput>;

/** From `calledAt` to `returnedAt`, which is never where the outcome stayed unknown. */
function put(
  calledAt: number,
  returnedAt: number,
  order: [version: number, content: string],
  kind?: "acknowledged" | "refused" | "invalid",
  isValid = true,
): OrderOperation {
  const [version, content] = order;
  const input: OrderInput = { kind: "put", version, content, isValid };
  return kind === undefined
    ? { calledAt, returnedAt: Infinity, input, output: undefined }
    : { calledAt, returnedAt, input, output: { kind } };
}

const read = (calledAt: number, returnedAt: number, version: number, content: string): OrderOperation => ({
  calledAt,
  returnedAt,
  input: { kind: "read" },
  output: { kind: "content", version, content },
});

const kindOf = (...history: OrderOperation[]): string => checkLinearizability(versionedRegister, history).kind;

test("histories that the orders' rules allow", () => {
  expect(kindOf()).toEqual("linearizable");
  expect(kindOf(read(0, 1, 0, ""))).toEqual("linearizable");
  // Taken, overtaken, sent again.
  expect(
    kindOf(
      put(0, 1, [7, "a"], "acknowledged"),
      put(2, 3, [8, "a"], "acknowledged"),
      put(4, 5, [7, "a"], "acknowledged"),
      read(6, 7, 8, "a"),
    ),
  ).toEqual("linearizable");
  // An answer was lost, and the order is in force all the same; or it is not.
  expect(kindOf(put(0, 1, [7, "a"]), read(2, 3, 7, "a"))).toEqual("linearizable");
  expect(kindOf(put(0, 1, [7, "a"]), read(2, 3, 0, ""))).toEqual("linearizable");
  // It may even take effect later.
  expect(kindOf(put(0, 1, [7, "a"]), read(2, 3, 0, ""), read(4, 5, 7, "a"))).toEqual("linearizable");
  // Two operators under one version.
  expect(kindOf(put(0, 5, [7, "a"], "refused"), put(1, 4, [7, "b"], "acknowledged"))).toEqual("linearizable");
  // An older change that comes for the first time, and one that cannot be read.
  expect(
    kindOf(
      put(0, 1, [7, "a"], "acknowledged"),
      put(2, 3, [6, "a"], "acknowledged"),
      put(4, 5, [6, "b"], "refused"),
      put(6, 7, [9, "a"], "invalid", false),
      read(8, 9, 7, "a"),
    ),
  ).toEqual("linearizable");
});

test("histories that the orders' rules forbid", () => {
  const taken = put(0, 1, [7, "a"], "acknowledged");
  const overtaken = put(2, 3, [8, "a"], "acknowledged");
  const broken: Record<string, OrderOperation[]> = {
    "two contents under one version": [taken, put(2, 3, [7, "b"], "acknowledged")],
    "two contents under one version, at once": [
      put(0, 9, [7, "a"], "acknowledged"),
      put(1, 8, [7, "b"], "acknowledged"),
    ],
    "two contents, once another version is in force": [taken, overtaken, put(4, 5, [7, "b"], "acknowledged")],
    "two contents under an older version": [
      overtaken,
      put(4, 5, [6, "a"], "acknowledged"),
      put(6, 7, [6, "b"], "acknowledged"),
    ],
    "a taken order is refused": [taken, put(2, 3, [7, "a"], "refused")],
    "a taken order is refused once another is in force": [taken, overtaken, put(4, 5, [7, "a"], "refused")],
    "a refusal of what nobody else sent": [put(0, 1, [7, "a"], "refused")],
    "a refusal, though the other came after it": [put(0, 1, [7, "a"], "refused"), put(2, 3, [7, "b"], "acknowledged")],
    "an acknowledged version is lost": [taken, read(2, 3, 0, "")],
    "an older version is read": [taken, overtaken, read(4, 5, 7, "a")],
    "an older version takes effect": [overtaken, put(4, 5, [7, "a"], "acknowledged"), read(6, 7, 7, "a")],
    "reads go back": [put(0, 1, [7, "a"]), read(2, 3, 7, "a"), read(4, 5, 0, "")],
    "another content is read": [taken, read(2, 3, 7, "b")],
    "what is invalid is acknowledged": [put(0, 1, [7, "a"], "acknowledged", false)],
    "what is invalid is in force": [put(0, 1, [7, "a"], undefined, false), read(2, 3, 7, "a")],
    "what is valid is called invalid": [put(0, 1, [7, "a"], "invalid")],
    "it took effect before it was called": [read(0, 1, 7, "a"), put(2, 3, [7, "a"])],
  };
  for (const [what, history] of Object.entries(broken)) expect([what, kindOf(...history)]).toEqual([what, "violation"]);
});

test("a violation names where no operation fits", () => {
  const verdict = checkLinearizability(versionedRegister, [
    put(0, 1, [7, "a"], "acknowledged"),
    put(2, 3, [7, "b"], "acknowledged"),
    read(4, 5, 7, "a"),
  ]);
  const stuckAt = verdict.kind === "violation" ? verdict.stuckAt.map(({ calledAt }) => calledAt) : [];
  expect([verdict.kind, verdict.kind === "violation" && verdict.explained, stuckAt]).toEqual(["violation", 1, [2]]);
});

/** Every order of every choice of the unknown ones: slow, and simple enough to be believed. */
function isExplained<S, I, O>(model: SequentialModel<S, I, O>, left: Array<Operation<I, O>>, state: S): boolean {
  if (left.every(({ output }) => output === undefined)) return true;
  return left.some((one) => {
    if (left.some((other) => other !== one && other.returnedAt < one.calledAt)) return false;
    const next = model.step(state, one.input, one.output);
    const rest = left.filter((other) => other !== one);
    return next !== undefined && isExplained(model, rest, next);
  });
}

const times = fc.record({ calledAt: fc.integer({ min: 0, max: 12 }), length: fc.integer({ min: 1, max: 8 }) });
const order = fc.record({
  kind: fc.constant("put" as const),
  version: fc.integer({ min: 1, max: 2 }),
  content: fc.constantFrom("a", "b"),
  isValid: fc.constant(true),
});
const orderOperation: fc.Arbitrary<OrderOperation> = fc.oneof(
  fc
    .record({ times, order, kind: fc.constantFrom("acknowledged", "acknowledged", "refused", undefined) })
    .map(({ times: { calledAt, length }, order: { version, content }, kind }) =>
      put(calledAt, calledAt + length, [version, content], kind as "acknowledged" | undefined),
    ),
  fc
    .record({ times, version: fc.integer({ min: 0, max: 2 }), content: fc.constantFrom("a", "b") })
    .map(({ times: { calledAt, length }, version, content }) =>
      read(calledAt, calledAt + length, version, version === 0 ? "" : content),
    ),
);
const keysOperation: fc.Arbitrary<Operation<KeysInput, KeysOutput>> = fc
  .record({
    times,
    expected: fc.dictionary(fc.constantFrom("x", "y"), fc.constantFrom("1", "2"), { maxKeys: 1 }),
    puts: fc.dictionary(fc.constantFrom("x", "y"), fc.constantFrom("1", "2"), { minKeys: 1, maxKeys: 2 }),
    kind: fc.constantFrom("done", "done", "conflict", "unknown", "read"),
  })
  .map(({ times: { calledAt, length }, expected, puts, kind }) => {
    const returnedAt = kind === "unknown" ? Infinity : calledAt + length;
    if (kind === "read")
      return {
        calledAt,
        returnedAt,
        input: { kind: "read", keys: Object.keys(puts) },
        output: { kind: "values", values: puts },
      };
    const output = kind === "unknown" ? undefined : ({ kind } as KeysOutput);
    return { calledAt, returnedAt, input: { kind: "txn", expected, puts }, output };
  });

/** The same cases at every run. */
const seeded = { seed: 17, numRuns: 3000 };

for (const [what, model, operation] of [
  ["orders", versionedRegister, orderOperation],
  ["transactions", checkedKeys, keysOperation],
] as Array<[string, SequentialModel<unknown, unknown, unknown>, fc.Arbitrary<Operation<unknown, unknown>>]>)
  test(`the search agrees with trying everything, on small histories of ${what}`, () => {
    const verdicts = { linearizable: 0, violation: 0 };
    fc.assert(
      fc.property(fc.array(operation, { maxLength: 6 }), (history) => {
        const { kind } = checkLinearizability(model, history);
        const explained = isExplained(model, history, model.initial);
        expect(kind).toEqual(explained ? "linearizable" : "violation");
        verdicts[explained ? "linearizable" : "violation"] += 1;
      }),
      seeded,
    );
    expect([verdicts.linearizable > 300, verdicts.violation > 300]).toEqual([true, true]);
  });
