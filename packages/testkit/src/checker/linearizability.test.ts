import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { checkedKeys, type KeysInput, type KeysOutput } from "./checkedKeys.js";
import { checkLinearizability, type Operation, type SequentialModel } from "./linearizability.js";
import { versionedRegister, type RegisterInput, type RegisterOutput } from "./versionedRegister.js";

type OrderOperation = Operation<RegisterInput, RegisterOutput>;

/** A put with its call and return times; without `kind` the outcome is unknown and it never returns. */
function put(
  calledAt: number,
  returnedAt: number,
  order: [version: number, content: string],
  kind?: "acknowledged" | "refused" | "invalid",
  isValid = true,
): OrderOperation {
  const [version, content] = order;
  const input: RegisterInput = { kind: "put", version, content, isValid };
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

test("histories that the versioned register allows", () => {
  expect(kindOf()).toEqual("linearizable");
  expect(kindOf(read(0, 1, 0, ""))).toEqual("linearizable");
  // Acknowledged, superseded by a higher version, sent again.
  expect(
    kindOf(
      put(0, 1, [7, "a"], "acknowledged"),
      put(2, 3, [8, "a"], "acknowledged"),
      put(4, 5, [7, "a"], "acknowledged"),
      read(6, 7, 8, "a"),
    ),
  ).toEqual("linearizable");
  // The answer was lost; the put may or may not have taken effect.
  expect(kindOf(put(0, 1, [7, "a"]), read(2, 3, 7, "a"))).toEqual("linearizable");
  expect(kindOf(put(0, 1, [7, "a"]), read(2, 3, 0, ""))).toEqual("linearizable");
  // A put of unknown outcome may take effect after a later read.
  expect(kindOf(put(0, 1, [7, "a"]), read(2, 3, 0, ""), read(4, 5, 7, "a"))).toEqual("linearizable");
  // Two operators put different contents under one version.
  expect(kindOf(put(0, 5, [7, "a"], "refused"), put(1, 4, [7, "b"], "acknowledged"))).toEqual("linearizable");
  // An older version that is put for the first time, and an invalid content.
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

test("histories that the versioned register forbids", () => {
  const acknowledged = put(0, 1, [7, "a"], "acknowledged");
  const superseding = put(2, 3, [8, "a"], "acknowledged");
  const forbidden: Record<string, OrderOperation[]> = {
    "two contents under one version": [acknowledged, put(2, 3, [7, "b"], "acknowledged")],
    "two contents under one version, concurrently": [
      put(0, 9, [7, "a"], "acknowledged"),
      put(1, 8, [7, "b"], "acknowledged"),
    ],
    "two contents, once another version is in force": [acknowledged, superseding, put(4, 5, [7, "b"], "acknowledged")],
    "two contents under an older version": [
      superseding,
      put(4, 5, [6, "a"], "acknowledged"),
      put(6, 7, [6, "b"], "acknowledged"),
    ],
    "an acknowledged order is refused": [acknowledged, put(2, 3, [7, "a"], "refused")],
    "an acknowledged order is refused once another is in force": [
      acknowledged,
      superseding,
      put(4, 5, [7, "a"], "refused"),
    ],
    "a refusal without a competing content": [put(0, 1, [7, "a"], "refused")],
    "a refusal although the competing content came later": [
      put(0, 1, [7, "a"], "refused"),
      put(2, 3, [7, "b"], "acknowledged"),
    ],
    "an acknowledged version is lost": [acknowledged, read(2, 3, 0, "")],
    "an older version is read": [acknowledged, superseding, read(4, 5, 7, "a")],
    "an older version takes effect": [superseding, put(4, 5, [7, "a"], "acknowledged"), read(6, 7, 7, "a")],
    "reads go back": [put(0, 1, [7, "a"]), read(2, 3, 7, "a"), read(4, 5, 0, "")],
    "another content is read": [acknowledged, read(2, 3, 7, "b")],
    "an invalid content is acknowledged": [put(0, 1, [7, "a"], "acknowledged", false)],
    "an invalid content is in force": [put(0, 1, [7, "a"], undefined, false), read(2, 3, 7, "a")],
    "a valid content is refused as invalid": [put(0, 1, [7, "a"], "invalid")],
    "a put takes effect before its call": [read(0, 1, 7, "a"), put(2, 3, [7, "a"])],
  };
  for (const [what, history] of Object.entries(forbidden))
    expect([what, kindOf(...history)]).toEqual([what, "violation"]);
});

test("a violation names the operations at which the search got stuck", () => {
  const verdict = checkLinearizability(versionedRegister, [
    put(0, 1, [7, "a"], "acknowledged"),
    put(2, 3, [7, "b"], "acknowledged"),
    read(4, 5, 7, "a"),
  ]);
  const stuckAt = verdict.kind === "violation" ? verdict.stuckAt.map(({ calledAt }) => calledAt) : [];
  expect([verdict.kind, verdict.kind === "violation" && verdict.explained, stuckAt]).toEqual(["violation", 1, [2]]);
});

/** Reference implementation: tries every order with every choice of operations of unknown outcome. */
function isExplained<S, I, O>(model: SequentialModel<S, I, O>, remaining: Array<Operation<I, O>>, state: S): boolean {
  if (remaining.every(({ output }) => output === undefined)) return true;
  return remaining.some((operation) => {
    if (remaining.some((other) => other !== operation && other.returnedAt < operation.calledAt)) return false;
    const next = model.step(state, operation.input, operation.output);
    const rest = remaining.filter((other) => other !== operation);
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

/** A fixed seed, so that every run checks the same cases. */
const fixedSeed = { seed: 17, numRuns: 3000 };

for (const [what, model, operation] of [
  ["orders", versionedRegister, orderOperation],
  ["transactions", checkedKeys, keysOperation],
] as Array<[string, SequentialModel<unknown, unknown, unknown>, fc.Arbitrary<Operation<unknown, unknown>>]>)
  test(`the search agrees with the exhaustive reference on small histories of ${what}`, () => {
    const verdicts = { linearizable: 0, violation: 0 };
    fc.assert(
      fc.property(fc.array(operation, { maxLength: 6 }), (history) => {
        const { kind } = checkLinearizability(model, history);
        const explained = isExplained(model, history, model.initial);
        expect(kind).toEqual(explained ? "linearizable" : "violation");
        verdicts[explained ? "linearizable" : "violation"] += 1;
      }),
      fixedSeed,
    );
    expect([verdicts.linearizable > 300, verdicts.violation > 300]).toEqual([true, true]);
  });
