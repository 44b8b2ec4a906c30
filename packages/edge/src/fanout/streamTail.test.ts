import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { StreamMessageSchema, type StreamMessage } from "@cranetrack/core/gen/cranetrack_pb.js";
import { expect } from "earl";
import { StreamTail } from "./streamTail.js";

const incarnation = "1-0123456789";
const message = (seq: number): StreamMessage => create(StreamMessageSchema, { seq, session: "s", number: seq });
const tailOf = (): StreamTail => new StreamTail({ stream: "6:notes/t1", space: "notes/", spaceIncarnation: 1 }, 0);

/** Checks the invariant that readers depend on: the messages end at the head and have no gap. */
function checkContiguous(tail: StreamTail): void {
  tail.messages.forEach((present, i) => expect(present.seq).toEqual(tail.head - tail.messages.length + 1 + i));
  for (let seq = tail.low; seq < tail.head; seq += 1) {
    const next = tail.after(seq);
    if (next !== undefined) expect(next.seq).toEqual(seq + 1);
  }
}

test("a tail that ended and is confirmed again in the same incarnation with a higher head has no gap", () => {
  const tail = tailOf();
  tail.confirmHead(incarnation, 0, 0);
  tail.extend(incarnation, [message(1), message(2)]);
  tail.end("topic-gone");
  tail.confirmHead(incarnation, 7, 0);
  checkContiguous(tail);
  expect([tail.head, tail.after(1), tail.after(2)]).toEqual([7, undefined, undefined]);
  tail.extend(incarnation, [message(8)]);
  checkContiguous(tail);
  expect(tail.after(7)?.seq).toEqual(8);
});

test("whatever arrives in whatever order, messages end at the head and the head only rises", () => {
  for (let round = 0; round < 300; round += 1) {
    const tail = tailOf();
    let draw = round + 1;
    const next = (most: number): number => (draw = (draw * 1103515245 + 12345) % 2147483648) % most;
    for (let step = 0; step < 40; step += 1) {
      const before = tail.head;
      const first = next(30) + 1;
      const action = next(5);
      if (action === 0) tail.confirmHead(incarnation, next(900), 0);
      else if (action === 1) tail.end("topic-gone");
      else
        tail.extend(
          incarnation,
          Array.from({ length: next(6) }, (_, i) => message(first + i)),
        );
      checkContiguous(tail);
      expect(tail.head >= before).toEqual(true);
    }
  }
});
