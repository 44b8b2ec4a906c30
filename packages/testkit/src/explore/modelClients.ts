import { create, toBinary } from "@bufbuild/protobuf";
import { StoreCommandSchema, type Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ApplyResult } from "@cranetrack/control/store/metadata.js";
import type { Coverage } from "./coverage.js";
import { modelBounds, type ModelMember } from "./modelMember.js";
import type { Observer } from "./observer.js";
import { Violation } from "./violation.js";

/**
 * Clients that request changes and reads from any member, and checks of the answers.
 * All keys are changed through one log, so answers are ordered by their revisions.
 */
export class ModelClients {
  /** Key of the order (configuration) in force; each order names the revision it replaces, as operators' orders do. */
  static readonly orderKey = "order";
  /** Size of a big value: it fills a frame, so that the next entry is sent in another one. */
  static readonly bigBytes = 1024 * 1024;

  readonly #observer: Observer;
  readonly #coverage: Coverage;
  /** The newest revision that any client was told: no later read may return an older one. */
  #newestRevision = 0;
  /** Digest of each acknowledged entry, by revision. */
  readonly #acknowledged = new Map<number, string>();
  /** By replaced revision, the token of the order that was confirmed to have replaced it. */
  readonly #confirmedOrders = new Map<number, string>();
  readonly #executedCalls = new Set<string>();
  readonly #requestCounts = new Map<string, number>();

  constructor(observer: Observer, coverage: Coverage) {
    this.#observer = observer;
    this.#coverage = coverage;
  }

  /** Puts the member's own key unconditionally; `isBig`: with a value of `bigBytes`. */
  propose(member: ModelMember, isBig: boolean): void {
    this.#put(member, `key-${member.name}`, undefined, isBig ? ModelClients.bigBytes : 0);
  }

  /** Replaces the order in force at this member, on condition that it is still in force when the change is applied. */
  order(member: ModelMember): void {
    this.#put(member, ModelClients.orderKey, member.raft.metadata.get(ModelClients.orderKey)?.revision ?? 0);
  }

  /** Reads the store's revision at a member once it has confirmed its leadership. */
  read(member: ModelMember): void {
    const before = this.#newestRevision;
    const { raft } = member;
    void raft.confirm().then((isConfirmed) => {
      if (!member.isUp) return;
      if (!isConfirmed) return this.#coverage.count("event: read refused");
      this.#coverage.count("event: read confirmed");
      const { revision } = raft.metadata;
      this.#observer.captureFault(() => {
        if (revision < before)
          throw new Violation("reads never go back", `${member.name} read ${revision} after ${before} was told`);
      });
      this.#newestRevision = Math.max(this.#newestRevision, revision);
    });
  }

  /** Makes one call that must run at most once; the other process replies with its own name and the token it got. */
  call(member: ModelMember, to: string): void {
    const token = this.#nextToken(member);
    const txn = { checks: [], puts: [], deletes: [token] };
    const body = { case: "storeCall" as const, value: { call: { case: "txn" as const, value: txn } } };
    void member.endpoint.call(to, body, modelBounds.callMs).then((reply) => {
      if (!member.isUp) return;
      if (reply === undefined) return this.#coverage.count("event: call unanswered");
      this.#coverage.count("event: call answered");
      const answer = reply.case === "storeReply" ? reply.value.reason : reply.case;
      this.#observer.captureFault(() => {
        if (answer !== `${to} ${token}`)
          throw new Violation("replies reach their call", `${member.name} asked ${to} ${token} and got ${answer}`);
      });
    });
  }

  /** Serves the calls of other processes. */
  serve(member: ModelMember): void {
    member.endpoint.serve("ping", () => ({ case: "done", value: {} }));
    member.endpoint.serve("storeCall", ({ call }) => {
      const token = call.case === "txn" ? call.value.deletes[0]! : "";
      this.#observer.captureFault(() => {
        if (this.#executedCalls.has(token))
          throw new Violation("calls run at most once", `${member.name} executes ${token} again`);
      });
      this.#executedCalls.add(token);
      return { case: "storeReply", value: { outcome: "done", reason: `${member.name} ${token}` } };
    });
  }

  /** Every acknowledged entry must be the one committed at its revision. */
  check(): void {
    for (const [revision, digest] of this.#acknowledged)
      if (this.#observer.committed.entryAt(revision)?.digest !== digest)
        throw new Violation(
          "acknowledged orders stay",
          `what was acknowledged at ${revision} is not what is committed`,
        );
  }

  text(): string {
    return `${this.#newestRevision};${[...this.#confirmedOrders].join()}`;
  }

  #put(member: ModelMember, key: string, replaced: number | undefined, padding = 0): void {
    const token = this.#nextToken(member);
    const checks = replaced === undefined ? [] : [{ key, revision: replaced }];
    const txn = {
      checks,
      puts: [{ key, value: Buffer.from(token.padEnd(padding)) } as Partial<Kv> as Kv],
      deletes: [],
    };
    const data = toBinary(StoreCommandSchema, create(StoreCommandSchema, { command: { case: "txn", value: txn } }));
    void member.raft.propose(data).then((applied) => {
      if (!member.isUp) return;
      if (applied === undefined) return this.#coverage.count("event: change unanswered");
      this.#recordAnswer(member, data, applied, token, replaced);
    });
  }

  #recordAnswer(
    { name }: ModelMember,
    data: Uint8Array,
    { outcome, revision }: ApplyResult,
    token: string,
    replaced?: number,
  ): void {
    this.#coverage.count(`event: change answered ${outcome}`);
    this.#newestRevision = Math.max(this.#newestRevision, revision);
    this.#acknowledged.set(revision, `0:${Buffer.from(data).toString("base64")}`);
    if (outcome !== "done" || replaced === undefined) return;
    this.#observer.captureFault(() => {
      const before = this.#confirmedOrders.get(replaced);
      if (before !== undefined)
        throw new Violation("one order a revision", `${name} confirmed ${token} in place of ${replaced}, as ${before}`);
      this.#confirmedOrders.set(replaced, token);
    });
  }

  /** A unique name for a request; runs with the same steps at this machine give the same names. */
  #nextToken({ name }: ModelMember): string {
    const number = (this.#requestCounts.get(name) ?? 0) + 1;
    this.#requestCounts.set(name, number);
    return `${name}.${number}`;
  }
}
