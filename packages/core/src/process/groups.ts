import type { Append, AppendReceipt, Picture } from "../gen/cranetrack_pb.js";
import type { Exchange } from "./exchange.js";
import type { BodyInit } from "./wire.js";

export interface Group {
  append(append: Append, from: string): Promise<BodyInit | undefined> | undefined;
  picture(picture: Picture, from: string): Promise<BodyInit | undefined> | undefined;
  receipt(receipt: AppendReceipt, from: string): void;
}

/** Hands the messages of replicated logs to the log they are about. */
export class Groups {
  readonly #groups = new Map<string, Group>();

  constructor(exchange: Exchange) {
    exchange.serve("append", (append, frame) => this.#groups.get(append.group)?.append(append, frame.from));
    exchange.serve("picture", (picture, frame) => this.#groups.get(picture.group)?.picture(picture, frame.from));
    exchange.serve("appendReceipt", (receipt, frame) => {
      this.#groups.get(receipt.group)?.receipt(receipt, frame.from);
      return undefined;
    });
  }

  enlist(name: string, group: Group): void {
    this.#groups.set(name, group);
  }
}
