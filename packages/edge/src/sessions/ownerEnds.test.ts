import { test } from "node:test";
import { expect } from "earl";
import { OwnerEnds } from "./ownerEnds.js";

const redeliveryMs = 10_000;

// Guards against two faults: a publish reported as never sent although an earlier owner that ended may have sent it,
// and uncertainty about sessions that never had an owner.
test("all numbers of a session without an owner are known a redelivery time after the latest known owner end", () => {
  let now = 500;
  const idle = { stop: () => undefined };
  const ends = new OwnerEnds({ now: () => now, once: () => idle, every: () => idle }, redeliveryMs);
  expect(ends.numbersCompleteAt(0)).toEqual(0);
  expect(ends.numbersCompleteAt(7)).toEqual(500 + redeliveryMs);
  now = 2000;
  expect(ends.numbersCompleteAt(7)).toEqual(500 + redeliveryMs);
  expect(ends.numbersCompleteAt(9)).toEqual(2000 + redeliveryMs);
  now = 3000;
  // A reply that arrives late with an older revision does not change the time.
  expect(ends.numbersCompleteAt(7)).toEqual(2000 + redeliveryMs);
  expect(ends.numbersCompleteAt(0)).toEqual(2000 + redeliveryMs);
});
