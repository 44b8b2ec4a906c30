import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { PushSchema, type Push } from "@cranetrack/core/gen/cranetrack_pb.js";
import { NumberedPushes } from "./numberedPushes.js";

const push = (number: number, follow = "a"): Push => create(PushSchema, { follow, number });

test("a push counts only if it has the next number and belongs to the present follow", () => {
  const pushes = new NumberedPushes();
  pushes.begin("a");
  expect(pushes.onFollowReply(4)).toEqual([]);
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

test("a push that arrives before the follow's reply waits for it and counts then", () => {
  const pushes = new NumberedPushes();
  pushes.begin("a");
  expect(pushes.receive(push(1))).toEqual("early");
  const early = pushes.onFollowReply(0);
  expect(early.map((earlyPush) => pushes.receive(earlyPush))).toEqual(["next"]);
});

test("no push of a follow counts after its end", () => {
  const pushes = new NumberedPushes();
  pushes.begin("a");
  pushes.onFollowReply(3);
  pushes.end();
  expect(pushes.receive(push(4))).toEqual("foreign");
  expect([pushes.follow, pushes.seen]).toEqual(["", 0]);
});
