import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { StreamMessageSchema, type StreamMessage } from "@cranetrack/core/gen/cranetrack_pb.js";
import { expect } from "earl";
import { PublisherOrder } from "./publisherOrder.js";
import { StreamTail, type OrderFault } from "./streamTail.js";

const message = (seq: number, number: number, session = "pen", at = 1000): StreamMessage =>
  create(StreamMessageSchema, { seq, number, session, at, topic: "t", payload: Buffer.from("x") });

test("numbers that don't rise are told, each publisher by itself, unless it was silent for long", () => {
  const order = new PublisherOrder();
  expect(order.faultOf(message(1, 5))).toEqual(undefined);
  expect(order.faultOf(message(2, 3, "other"))).toEqual(undefined);
  expect(order.faultOf(message(3, 5))).toEqual(5);
  expect(order.faultOf(message(4, 9))).toEqual(undefined);
  expect(order.faultOf(message(5, 1, "pen", 1000 + PublisherOrder.rememberedMs))).toEqual(undefined);
});

test("a publisher that was silent longest is forgotten first", () => {
  const order = new PublisherOrder();
  for (let i = 0; i <= PublisherOrder.mostPublishers; i += 1) order.faultOf(message(i + 1, 7, `pen-${i}`));
  expect(order.faultOf(message(1, 1, "pen-0"))).toEqual(undefined);
  expect(order.faultOf(message(1, 1, `pen-${PublisherOrder.mostPublishers}`))).toEqual(7);
});

test("a tail tells of disorder within one birth", () => {
  const tail = new StreamTail({ stream: "0:t", space: "", spaceBirth: 1 }, 0);
  const faults: OrderFault[] = [];
  tail.on("disorder", (fault) => faults.push(fault));
  tail.learn("1-aaaaaa", 0, 0);
  tail.extend("1-aaaaaa", [message(1, 1), message(2, 2)]);
  tail.extend("1-aaaaaa", [message(2, 2), message(3, 2)]);
  expect(faults.map(({ message: { seq }, last }) => [seq, last])).toEqual([[3, 2]]);
  tail.learn("1-bbbbbb", 0, 0);
  tail.extend("1-bbbbbb", [message(1, 1)]);
  expect(faults.length).toEqual(1);
});
