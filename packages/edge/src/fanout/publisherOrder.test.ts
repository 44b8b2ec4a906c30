import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { StreamMessageSchema, type StreamMessage } from "@cranetrack/core/gen/cranetrack_pb.js";
import { expect } from "earl";
import { PublisherOrder } from "./publisherOrder.js";
import { StreamTail, type OrderFault } from "./streamTail.js";

const message = (seq: number, number: number, session = "pen", topic = "t"): StreamMessage =>
  create(StreamMessageSchema, { seq, number, session, at: 1000, topic, payload: Buffer.from("x") });

test("a number is compared with the highest number of its publisher and topic", () => {
  const order = new PublisherOrder();
  expect(order.checkNumber(message(1, 5), 0)).toEqual(undefined);
  expect(order.checkNumber(message(2, 3, "other"), 0)).toEqual(undefined);
  expect(order.checkNumber(message(3, 2, "pen", "u"), 0)).toEqual(undefined);
  expect(order.checkNumber(message(4, 5), 0)).toEqual(5);
  expect(order.checkNumber(message(5, 2), 0)).toEqual(5);
  // An out-of-order message does not lower the highest number.
  expect(order.checkNumber(message(6, 4), 0)).toEqual(5);
  expect(order.checkNumber(message(7, 9), 0)).toEqual(undefined);
});

test("the numbers of a publisher may start again only after a long silence", () => {
  const order = new PublisherOrder();
  order.checkNumber(message(1, 5), 1000);
  expect(order.checkNumber(message(2, 1), 999 + PublisherOrder.rememberedMs)).toEqual(5);
  expect(order.checkNumber(message(3, 1), 999 + 2 * PublisherOrder.rememberedMs)).toEqual(undefined);
  expect(order.checkNumber(message(4, 1), 999 + 2 * PublisherOrder.rememberedMs)).toEqual(1);
});

test("it is bounded: the publisher that was silent longest is forgotten first", () => {
  const order = new PublisherOrder();
  for (let i = 0; i < PublisherOrder.maxPublishers; i += 1) order.checkNumber(message(i + 1, 7, `pen-${i}`), 0);
  order.checkNumber(message(1, 8, "pen-0"), 0);
  order.checkNumber(message(1, 1, "more"), 0);
  expect(order.checkNumber(message(1, 1, "pen-1"), 0)).toEqual(undefined);
  expect(order.checkNumber(message(1, 1, "pen-0"), 0)).toEqual(8);
  expect(order.checkNumber(message(1, 1, "pen-3"), 0)).toEqual(7);
});

// Guards against ORDER (review/10): what a reader had received was forgotten while it could still be repeated.
test("a publisher is not forgotten by count while its numbers may be repeated", () => {
  const order = new PublisherOrder(15_000);
  const count = 2 * PublisherOrder.maxPublishers;
  for (let i = 0; i < count; i += 1) order.checkNumber(message(i + 1, 7, `pen-${i}`), i);
  expect(order.checkNumber(message(1, 7, "pen-0"), 14_999)).toEqual(7);
  order.checkNumber(message(1, 7, "more"), 17_000);
  expect(order.checkNumber(message(1, 7, "pen-1"), 17_000)).toEqual(undefined);
});

test("a tail reports numbers out of order within one incarnation", () => {
  const tail = new StreamTail({ stream: "0:t", space: "", spaceIncarnation: 1 }, 0);
  const faults: OrderFault[] = [];
  tail.on("disorder", (fault) => faults.push(fault));
  tail.confirmHead("1-aaaaaa", 0, 0);
  tail.extend("1-aaaaaa", [message(1, 1), message(2, 2)]);
  tail.extend("1-aaaaaa", [message(2, 2), message(3, 2)]);
  expect(faults.map(({ message: { seq }, last }) => [seq, last])).toEqual([[3, 2]]);
  tail.confirmHead("1-bbbbbb", 0, 0);
  tail.extend("1-bbbbbb", [message(1, 1)]);
  expect(faults.length).toEqual(1);
});
