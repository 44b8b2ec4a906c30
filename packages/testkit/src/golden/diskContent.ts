/** The written form of a data folder's records, to be compared with what is checked in beside the golden folders. */
import { createHash } from "node:crypto";
import type { DiskRecord } from "./diskAdapter.js";
import { MessageFields } from "./diskFields.js";

/** A record in its written form: always a digest of its bytes, and what they say where the kind of key is known. */
export interface WrittenRecord {
  readonly key: string;
  readonly sha256: string;
  readonly content?: unknown;
}

/** The digest of a value, as expectations write it. */
export function digest(bytes: Uint8Array): string {
  return createHash("sha256").update(bytes).digest("hex");
}

/** The written form of records without their checksums. */
export function writtenRecords(records: readonly DiskRecord[]): WrittenRecord[] {
  return records.map(({ key, value }) => ({ key, sha256: digest(value), ...contentOf(key, value) }));
}

function contentOf(key: string, value: Uint8Array): { content?: unknown } {
  if (key === "store/p") return { content: snapshotContent(value, storeSnapshotContent) };
  if (key.endsWith("/p")) return { content: snapshotContent(value, shardSnapshotContent) };
  if (key.includes("/e/")) return { content: entryContent(value) };
  if (key.endsWith("/m") || key === "identity")
    return { content: JSON.parse(Buffer.from(value).toString()) as unknown };
  if (key === "shelf") return { content: Buffer.from(value).toString() };
  return {};
}

/** An entry of a replicated log: 1 index, 2 term, 3 kind, 4 data. */
function entryContent(bytes: Uint8Array): object {
  const entry = new MessageFields(bytes);
  return { index: entry.number(1), term: entry.number(2), kind: entry.number(3), dataSha256: digest(entry.bytes(4)) };
}

/** A snapshot on the disk: 5 index, 6 its term, 7 the state. */
function snapshotContent(bytes: Uint8Array, contentOfState: (state: MessageFields) => object): object {
  const snapshot = new MessageFields(bytes);
  return {
    fields: snapshot.present,
    index: snapshot.number(5),
    indexTerm: snapshot.number(6),
    state: contentOfState(new MessageFields(snapshot.bytes(7))),
  };
}

/** The state of the store: 1 keys, 2 leases, 3 members, 4 revision. */
function storeSnapshotContent(state: MessageFields): object {
  return {
    keys: state.messages(1).map((pair) => ({
      key: pair.text(1),
      value: pair.text(1).startsWith("documents/orders/") ? pair.bytes(2).toString("hex") : pair.text(2),
      revision: pair.number(3),
      lease: pair.text(4),
    })),
    leases: state.messages(2).map((lease) => ({ lease: lease.text(1), length: lease.number(2) })),
    voters: state.messages(3).flatMap((members) => members.messages(1).map((voter) => [voter.text(1), voter.text(2)])),
    revision: state.number(4),
  };
}

/** The state of a shard: 1 streams, 3 time. */
function shardSnapshotContent(state: MessageFields): object {
  return { streams: state.messages(1).map(streamContent), time: state.number(3) };
}

/** A stream: 1 name, 2 incarnation, 3 head, 4 low, 5 messages, 6 trims, 7 publishers. */
function streamContent(stream: MessageFields): object {
  return {
    name: stream.text(1),
    incarnation: stream.text(2),
    head: stream.number(3),
    low: stream.number(4),
    messages: stream
      .messages(5)
      .map((message) => [
        message.number(1),
        message.text(2),
        message.number(3),
        message.text(4),
        message.number(5),
        message.text(6),
      ]),
    trims: stream.messages(6).map((trim) => [trim.text(1), trim.number(2)]),
    publishers: stream
      .messages(7)
      .map((publisher) => [
        publisher.text(1),
        publisher.text(2),
        publisher.number(3),
        publisher.number(4),
        digest(publisher.bytes(5)),
        digest(publisher.bytes(6)),
      ]),
  };
}
