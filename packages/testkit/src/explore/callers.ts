import { create, toBinary } from "@bufbuild/protobuf";
import { StoreCommandSchema, type Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { Applied } from "@cranetrack/control/store/metadata.js";
import type { Coverage } from "./coverage.js";
import { modelBounds, type ModelMember } from "./modelMember.js";
import type { Observer } from "./observer.js";
import { Violation } from "./violation.js";

/**
 * Who asks for changes and reads, at whichever member, and what was answered to them.
 * All keys are changed through one log, so an answer is in order where its revision is.
 */
export class ModelClients {
  /** The key that orders replace, each naming the revision it replaces, as operators' orders do. */
  static readonly orderKey = "order";
  static readonly bigBytes = 1024 * 1024;

  readonly #observer: Observer;
  readonly #coverage: Coverage;
  /** The newest revision that anybody was told of: no later read may be older. */
  #told = 0;
  /** The content of each entry that was acknowledged. */
  readonly #acknowledged = new Map<number, string>();
  /** Which order was confirmed as the one that replaced a revision. */
  readonly #confirmed = new Map<number, string>();
  readonly #carriedOut = new Set<string>();
  readonly #asked = new Map<string, number>();

  constructor(observer: Observer, coverage: Coverage) {
    this.#observer = observer;
    this.#coverage = coverage;
  }

  /** Puts a key of its own, whatever is there. A big one fills a frame, so that what follows comes in another. */
  propose(member: ModelMember, isBig: boolean): void {
    this.#put(member, `key-${member.name}`, undefined, isBig ? ModelClients.bigBytes : 0);
  }

  /** Replaces the order in force at this member, if it still is then. */
  order(member: ModelMember): void {
    this.#put(member, ModelClients.orderKey, member.raft.metadata.get(ModelClients.orderKey)?.revision ?? 0);
  }

  read(member: ModelMember): void {
    const before = this.#told;
    const { raft } = member;
    void raft.confirm().then((isConfirmed) => {
      if (!member.isUp) return;
      if (!isConfirmed) return this.#coverage.count("event: read refused");
      this.#coverage.count("event: read confirmed");
      const { revision } = raft.metadata;
      this.#observer.keep(() => {
        if (revision < before)
          throw new Violation("reads never go back", `${member.name} read ${revision} after ${before} was told`);
      });
      this.#told = Math.max(this.#told, revision);
    });
  }

  /** One call that may not be repeated; the other process answers with what it was asked and its own name. */
  call(member: ModelMember, to: string): void {
    const token = this.#token(member);
    const txn = { checks: [], puts: [], deletes: [token] };
    const body = { case: "storeCall" as const, value: { call: { case: "txn" as const, value: txn } } };
    void member.endpoint.call(to, body, modelBounds.callMs).then((reply) => {
      if (!member.isUp) return;
      if (reply === undefined) return this.#coverage.count("event: call unanswered");
      this.#coverage.count("event: call answered");
      const answer = reply.case === "storeReply" ? reply.value.reason : reply.case;
      this.#observer.keep(() => {
        if (answer !== `${to} ${token}`)
          throw new Violation("replies reach their call", `${member.name} asked ${to} ${token} and got ${answer}`);
      });
    });
  }

  /** Serves the calls of others. */
  serve(member: ModelMember): void {
    member.endpoint.serve("ping", () => ({ case: "done", value: {} }));
    member.endpoint.serve("storeCall", ({ call }) => {
      const token = call.case === "txn" ? call.value.deletes[0]! : "";
      this.#observer.keep(() => {
        if (this.#carriedOut.has(token))
          throw new Violation("calls run at most once", `${member.name} carries ${token} out again`);
      });
      this.#carriedOut.add(token);
      return { case: "storeReply", value: { outcome: "done", reason: `${member.name} ${token}` } };
    });
  }

  check(): void {
    for (const [revision, digest] of this.#acknowledged)
      if (this.#observer.committed.at(revision)?.digest !== digest)
        throw new Violation(
          "acknowledged orders stay",
          `what was acknowledged at ${revision} is not what is committed`,
        );
  }

  text(): string {
    return `${this.#told};${[...this.#confirmed].join()}`;
  }

  #put(member: ModelMember, key: string, replaced: number | undefined, padding = 0): void {
    const token = this.#token(member);
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
      this.#answered(member, data, applied, token, replaced);
    });
  }

  #answered(
    { name }: ModelMember,
    data: Uint8Array,
    { outcome, revision }: Applied,
    token: string,
    replaced?: number,
  ): void {
    this.#coverage.count(`event: change answered ${outcome}`);
    this.#told = Math.max(this.#told, revision);
    this.#acknowledged.set(revision, `0:${Buffer.from(data).toString("base64")}`);
    if (outcome !== "done" || replaced === undefined) return;
    this.#observer.keep(() => {
      const before = this.#confirmed.get(replaced);
      if (before !== undefined)
        throw new Violation("one order a revision", `${name} confirmed ${token} in place of ${replaced}, as ${before}`);
      this.#confirmed.set(replaced, token);
    });
  }

  /** Names what is asked, the same in each run that takes the same steps at this machine. */
  #token({ name }: ModelMember): string {
    const number = (this.#asked.get(name) ?? 0) + 1;
    this.#asked.set(name, number);
    return `${name}.${number}`;
  }
}
