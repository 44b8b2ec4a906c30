import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { PushSchema, type Push } from "@cranetrack/core/gen/cranetrack_pb.js";
import { NumberedPushes } from "./numberedPushes.js";

const push = (number: number, follow = "a"): Push => create(PushSchema, { follow, number });

test("a push counts only in its number's turn, and only of the follow under way", () => {
  const pushes = new NumberedPushes();
  pushes.begin("a");
  expect(pushes.opened(4)).toEqual([]);
  expect([4, 6, 5, 5, 6].map((number) => pushes.receive(push(number)))).toEqual([
    "seen",
    "gap",
    "next",
    "seen",
    "next",
  ]);
  expect(pushes.receive(push(7, "b"))).toEqual("foreign");
  expect(pushes.seen).toEqual(6);
});

test("a push before the follow's reply waits for it and counts then", () => {
  const pushes = new NumberedPushes();
  pushes.begin("a");
  expect(pushes.receive(push(1))).toEqual("early");
  const early = pushes.opened(0);
  expect(early.map((one) => pushes.receive(one))).toEqual(["next"]);
});

test("after its end nothing of a follow counts", () => {
  const pushes = new NumberedPushes();
  pushes.begin("a");
  pushes.opened(3);
  pushes.end();
  expect(pushes.receive(push(4))).toEqual("foreign");
  expect([pushes.follow, pushes.seen]).toEqual(["", 0]);
});
