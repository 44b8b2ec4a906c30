import type { Fetch, Follow, Publish, TopicHead } from "@cranetrack/chest/gen/cranetrack_pb.js";
import { Plans } from "@cranetrack/chest/mark/plan.js";
import type { ClusterNode } from "@cranetrack/chest/process/clusterNode.js";
import { Rendezvous } from "@cranetrack/chest/process/rendezvous.js";
import type { BodyInit } from "@cranetrack/chest/process/wire.js";
import { Follows } from "./follows.js";
import type { Holder } from "./holder.js";
import type { Replica } from "./replica.js";

type PublishOutcome = Extract<BodyInit, { case: "publishReceipt" }>;

/**
 * What a shard's holder does for edges: judges publishes against the plan, births topics, answers
 * follows and fetches, and trims.
 */
export class Bench {
  static readonly leastKeepMs = 45_000;
  static readonly forgetMs = 3_600_000;
  static readonly mostPending = 2000;

  readonly #node: ClusterNode;
  readonly #replica: Replica;
  readonly #holder: Holder;
  readonly #follows: Follows;
  readonly #isHeld: () => boolean;
  readonly #births = new Map<string, Promise<void>>();
  /** Topics with messages committed and not yet pushed. */
  readonly #fresh = new Set<string>();
  #trimmedAt = 0;
  #isTrimming = false;

  constructor(node: ClusterNode, replica: Replica, holder: Holder, isHeld: () => boolean) {
    this.#node = node;
    this.#replica = replica;
    this.#holder = holder;
    this.#isHeld = isHeld;
    this.#follows = new Follows(node, replica.state, replica.shard, holder.epoch);
    holder.on("applied", ({ verdict }) => {
      if (verdict?.outcome === "accepted" && verdict.isFresh) this.#note(verdict.topic);
    });
  }

  /** Whether claims, plan and epoch may be acted on now. */
  get isOpen(): boolean {
    return this.#holder.isServing && this.#isHeld() && this.#node.feed.isFresh;
  }

  async publish(publish: Publish): Promise<PublishOutcome> {
    if (!this.isOpen) return this.#away();
    const { topic, session, number } = publish;
    if (!this.#isOurs(topic) || !Number.isSafeInteger(number) || number < 1)
      return {
        case: "publishReceipt",
        value: { outcome: "refused", code: "malformed", reason: "the topic is another shard's, or the number is none" },
      };
    const known = this.#replica.state.known(topic, session, number);
    if (known?.outcome === "accepted")
      return { case: "publishReceipt", value: { outcome: "accepted", birth: known.birth, seq: known.seq } };
    if (known?.outcome === "refused")
      return { case: "publishReceipt", value: { outcome: "refused", code: known.code, reason: known.reason } };
    const owed = Plans.owed(this.#node.plan.plan, topic);
    if (owed === undefined)
      return {
        case: "publishReceipt",
        value: { outcome: "refused", code: "unknown-topic", reason: `the plan in force has no rule for ${topic}` },
      };
    if (this.#holder.occupancy > Bench.mostPending)
      return {
        case: "publishReceipt",
        value: { outcome: "busy", code: "busy", reason: "too many publishes are waiting for the disk", comeBack: 0.5 },
      };
    const refusal = Bench.#refusal(owed, publish);
    const birth = await this.#birthOf(topic);
    if (birth === undefined || !this.isOpen) return this.#away();
    const accept = {
      topic,
      birth,
      session,
      number,
      ownerEpoch: publish.ownerEpoch,
      payload: refusal === undefined ? publish.payload : new Uint8Array(),
      at: this.#holder.at,
      isVoid: refusal !== undefined,
    };
    const verdict = await this.#holder.propose({ case: "accept", value: accept });
    if (verdict === undefined)
      return {
        case: "publishReceipt",
        value: {
          outcome: "unsure",
          code: "unsure",
          reason: "the holder lost its claim before the message was committed",
          comeBack: 0.5,
        },
      };
    if (verdict.outcome === "accepted")
      return { case: "publishReceipt", value: { outcome: "accepted", birth: verdict.birth, seq: verdict.seq } };
    return {
      case: "publishReceipt",
      value: { outcome: "refused", code: refusal?.code ?? verdict.code, reason: refusal?.reason ?? verdict.reason },
    };
  }

  async follow(follow: Follow, edge: string): Promise<BodyInit> {
    if (!this.isOpen) return { case: "followReceipt", value: { outcome: "away" } };
    if (follow.topics.length === 0 && !follow.isFull) {
      const outcome = this.#follows.beat(follow) ? "done" : "resync";
      return { case: "followReceipt", value: { outcome, epoch: this.#holder.epoch } };
    }
    const owed = follow.topics.filter(
      ({ topic }) => this.#isOurs(topic) && Plans.owed(this.#node.plan.plan, topic) !== undefined,
    );
    await Promise.all(owed.map(({ topic }) => this.#birthOf(topic)));
    // A head may become somebody's start only if nobody has taken over meanwhile.
    if (!this.isOpen || !(await this.#holder.confirm()) || !this.isOpen)
      return { case: "followReceipt", value: { outcome: "away" } };
    const { heads, number } = this.#follows.enrol(follow, edge);
    const found = new Set(heads.map((head) => head.topic));
    const missing = follow.topics
      .filter(({ topic }) => !found.has(topic))
      .map(({ topic }) => ({ topic, fault: "unknown-topic" }) as TopicHead);
    this.#node.parts.clock.once(0, () => {
      if (this.isOpen) this.#follows.push(found);
    });
    return {
      case: "followReceipt",
      value: { outcome: "done", heads: [...heads, ...missing], epoch: this.#holder.epoch, number },
    };
  }

  fetch(fetch: Fetch): BodyInit {
    if (!this.isOpen) return { case: "fetchReceipt", value: { outcome: "away" } };
    const log = this.#replica.state.topics.get(fetch.topic);
    if (log === undefined || Plans.owed(this.#node.plan.plan, fetch.topic) === undefined)
      return { case: "fetchReceipt", value: { outcome: "unknown-topic" } };
    if (log.birth !== fetch.birth)
      return {
        case: "fetchReceipt",
        value: { outcome: "another-birth", low: log.low, head: log.head, batch: { birth: log.birth } },
      };
    const messages = Follows.slice(log.messages, log.low, fetch.after, fetch.limit);
    const outcome = fetch.after < log.low ? "trimmed" : "done";
    return {
      case: "fetchReceipt",
      value: {
        outcome,
        low: log.low,
        head: log.head,
        batch: { topic: fetch.topic, birth: log.birth, prev: (messages[0]?.seq ?? log.head + 1) - 1, messages },
      },
    };
  }

  /** Removed spaces end at once; what is past its keep goes at the next trim. */
  planChanged(): void {
    const { plan } = this.#node.plan;
    const gone = [...this.#replica.state.topics.keys()].filter((topic) => Plans.owed(plan, topic) === undefined);
    this.#follows.end(gone);
    if (gone.length > 0) void this.#trim();
  }

  beat(): void {
    this.#follows.forgetSilent();
    const now = this.#node.parts.clock.now();
    if (now - this.#trimmedAt < 5000) return;
    this.#trimmedAt = now;
    void this.#trim();
  }

  async #trim(): Promise<void> {
    if (!this.isOpen || this.#isTrimming) return;
    const { plan } = this.#node.plan;
    const { state } = this.#replica;
    const at = this.#holder.at;
    const topics = [...state.topics].flatMap(
      ([topic, log]): Array<{ topic: string; low?: number; isRemoved?: boolean }> => {
        const owed = Plans.owed(plan, topic);
        if (owed === undefined) return plan === undefined ? [] : [{ topic, isRemoved: true }];
        const keepMs = Math.max(owed.keep * 1000, Bench.leastKeepMs);
        const old = log.messages.findIndex((message) => message.at >= at - keepMs);
        const low = old === -1 ? log.head : log.messages[old]!.seq - 1;
        return low > log.low ? [{ topic, low }] : [];
      },
    );
    const forgetBefore = Math.max(0, at - Bench.forgetMs);
    if (topics.length === 0 && !state.hasOlder(forgetBefore)) return;
    this.#isTrimming = true;
    await this.#holder.propose({ case: "trim", value: { topics, at, forgetBefore } });
    this.#isTrimming = false;
  }

  /** The topic's birth, made where there was none; undefined where it could not be committed. */
  async #birthOf(topic: string): Promise<string | undefined> {
    const { topics } = this.#replica.state;
    if (!topics.has(topic)) {
      let birth = this.#births.get(topic);
      if (birth === undefined) {
        birth = this.#holder
          .propose({
            case: "birth",
            value: { topic, birth: this.#node.parts.chance.identity().slice(0, 10), at: this.#holder.at },
          })
          .then(() => void this.#births.delete(topic));
        this.#births.set(topic, birth);
      }
      await birth;
    }
    return topics.get(topic)?.birth;
  }

  #isOurs(topic: string): boolean {
    return Rendezvous.shardOf(topic, this.#node.parts.settings.shards) === this.#replica.shard;
  }

  #note(topic: string): void {
    if (this.#fresh.size === 0) {
      this.#node.parts.clock.once(0, () => {
        const topics = [...this.#fresh];
        this.#fresh.clear();
        if (this.isOpen)
          this.#follows.push(topics.filter((one) => Plans.owed(this.#node.plan.plan, one) !== undefined));
      });
    }
    this.#fresh.add(topic);
  }

  #away(): PublishOutcome {
    return {
      case: "publishReceipt",
      value: { outcome: "away", holder: this.#node.shards.find(this.#replica.shard).holder, comeBack: 0.5 },
    };
  }

  static #refusal(owed: ReturnType<typeof Plans.owed>, publish: Publish): { code: string; reason: string } | undefined {
    if (!Plans.mayPublish(owed!, publish.session))
      return { code: "not-a-publisher", reason: "the contract does not name this session as a publisher" };
    const most = owed!.maxBytes ?? 65_536;
    if (publish.payload.length > most)
      return {
        code: "too-large",
        reason: `the payload has ${publish.payload.length} bytes and the contract allows ${most}`,
      };
    return undefined;
  }
}
