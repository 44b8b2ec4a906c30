import { test } from "node:test";
import { expect } from "earl";
import { Incarnations } from "./incarnation.js";
import { Streams } from "./streams.js";

const logId = "0123456789";
const memoryId = "abcdefabcdef0000";

test("an incarnation in memory contains the end of the log that it continues", () => {
  const inMemory = Incarnations.inMemory({ identity: logId, seq: 300 }, memoryId);
  expect(inMemory).toEqual("12c-0123456789abcdefabcd");
  expect([inMemory, Streams.incarnation(0, memoryId), "9-a1b2c3"].map(Incarnations.isInMemory)).toEqual([
    true,
    false,
    false,
  ]);
  expect(Incarnations.logPosition(inMemory, 7)).toEqual({ identity: logId, seq: 300 });
  expect(Incarnations.logPosition(`2a-${logId}`, 7)).toEqual({ identity: logId, seq: 7 });
  for (const text of ["", "x", "1-", `1-${logId}X`, `1-${logId.repeat(3)}`])
    expect(Incarnations.logPosition(text, 1)).toEqual(undefined);
});

test("a log is recognised by its identity, whatever release named it; a stream without one has its own", () => {
  expect(Incarnations.isSame(`2a-${logId}`, Incarnations.inLog(logId))).toEqual(true);
  expect(Incarnations.isSame(`2a-${logId}`, "2a-0123456788")).toEqual(false);
  const inMemory = Incarnations.inMemory({ identity: logId, seq: 1 }, memoryId);
  expect([Incarnations.isSame(inMemory, inMemory), Incarnations.isSame(inMemory, `1-${logId}`)]).toEqual([true, false]);
  expect(Incarnations.isSame("", "")).toEqual(true);
  const identities = ["0:a", "0:b"].map((stream) => Incarnations.noLogIdentity(stream));
  expect(new Set(identities).size).toEqual(2);
  expect(identities.every((one) => /^[0-9a-f]{10}$/.test(one))).toEqual(true);
});
