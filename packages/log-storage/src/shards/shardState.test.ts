import { describe, it } from "node:test";
import { create, toBinary } from "@bufbuild/protobuf";
import { ShardCommandSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { expect } from "earl";
import { ShardState } from "./shardState.js";

const stream = "notes/t1";
const incarnation = "7-0123456789";

function stateWithMessages(count: number): ShardState {
  const state = new ShardState();
  const apply = (command: Parameters<typeof create<typeof ShardCommandSchema>>[1]): void =>
    void state.apply(toBinary(ShardCommandSchema, create(ShardCommandSchema, command)));
  apply({ command: { case: "createStream", value: { stream, incarnation, at: 5 } } });
  for (let number = 1; number <= count; number += 1) {
    const payload = new Uint8Array([number]);
    const accept = {
      topic: stream,
      stream,
      incarnation,
      session: "pen",
      number,
      ownerEpoch: 3,
      payload,
      at: 5 + number,
    };
    apply({ command: { case: "accept", value: accept } });
  }
  return state;
}

describe("ShardState", () => {
  it("reads back from a snapshot all that its streams hold, their incarnation among it", () => {
    const state = stateWithMessages(4);
    state.streams.get(stream)!.trim(2);
    const restored = new ShardState();
    restored.install(state.snapshot());
    const log = restored.streams.get(stream)!;
    expect([log.stream, log.incarnation, log.spaceIncarnation]).toEqual([stream, incarnation, 7]);
    expect([log.head, log.low, log.trims.get(stream)]).toEqual([4, 2, 2]);
    expect(log.messages.map(({ seq, payload }) => [seq, payload[0]])).toEqual([
      [3, 3],
      [4, 4],
    ]);
    const verdict = log.known(stream, "pen", 4);
    expect(verdict).toEqual({ kind: "accepted", stream, incarnation, seq: 4, isFresh: false });
    expect([restored.at, restored.snapshot()]).toEqual([state.at, state.snapshot()]);
  });
});
