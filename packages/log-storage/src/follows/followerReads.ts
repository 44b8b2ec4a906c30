import { create } from "@bufbuild/protobuf";
import { StreamHeadSchema, type Fetch, type Follow, type StreamAt } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import type { StreamLog } from "../shards/streamLog.js";
import { fetchFrom } from "./fetchFrom.js";
import { Follows } from "./follows.js";
import type { PushTurn } from "./pushTurn.js";
import type { Replica } from "../replication/replica.js";
import { StreamStandings } from "../shards/streamStandings.js";

/**
 * Follower reads: a replica that does not hold its shard pushes what is committed to edges that are near it.
 * Invariants: only entries up to the commit index that the shard's present leader told are served, and only while
 * that leader was heard lately, nothing told has stayed unapplied for long, and the feed is fresh; nothing is judged
 * here: a stream that is not here in the incarnation that the edge has from the leader is left to the leader.
 */
export class FollowerReads {
  static readonly heardMs = 700;
  static readonly behindMs = 300;

  readonly #node: ClusterNode;
  readonly #replica: Replica;
  readonly #turn: PushTurn;
  readonly #follows: Follows;
  readonly #standings: StreamStandings;
  /** Streams with messages applied and not yet pushed; all that is followed is looked at where it is not only these. */
  readonly #fresh = new Set<string>();
  #isTurning = false;
  #mustLookAtAll = false;

  constructor(node: ClusterNode, replica: Replica, turn: PushTurn) {
    this.#node = node;
    this.#replica = replica;
    this.#turn = turn;
    this.#standings = new StreamStandings(node);
    this.#follows = new Follows({
      node,
      shard: replica.shard,
      epoch: 0,
      turn,
      find: (stream) => this.#find(stream),
      isInMemory: () => false,
    });
    replica.on("applied", ({ verdict }) => {
      if (this.#follows.count === 0) return;
      if (verdict === undefined) return this.#heed("");
      if (verdict.outcome === "accepted" && verdict.isFresh) this.#heed(verdict.stream);
    });
    replica.on("installed", () => this.#heed(""));
    node.configuration.on("changed", () => this.#heed(""));
    node.shards.on("changed", (shard) => {
      if (shard === replica.shard) this.#closeWhereMustBe();
    });
  }

  get isOpen(): boolean {
    const { leader, leaderId, epoch, set } = this.#node.shards.find(this.#replica.shard);
    const { id } = this.#replica;
    return (
      leader !== "" &&
      leaderId !== id &&
      set?.members.some((member) => member.id === id) === true &&
      this.#replica.heardAgo(epoch) < FollowerReads.heardMs &&
      this.#replica.behindMs < FollowerReads.behindMs &&
      this.#node.feed.isFresh
    );
  }

  get count(): number {
    return this.#follows.count;
  }

  /** Answers in the same event-loop turn, so that no push overtakes the answer. */
  follow(follow: Follow, edge: string): BodyInit {
    if (!this.isOpen) return { case: "followReply", value: { outcome: "away" } };
    if (this.#follows.isLate(follow)) return { case: "followReply", value: { outcome: "resync" } };
    const followed = follow.streams.filter((at) => this.#isHere(at));
    const { heads, number } = this.#follows.admit(follow, followed, edge);
    const found = new Set(heads.map((head) => head.stream));
    const missing = follow.streams.flatMap(({ stream }) =>
      found.has(stream) ? [] : [create(StreamHeadSchema, { stream, fault: "behind" })],
    );
    for (const stream of found) this.#heed(stream);
    return { case: "followReply", value: { outcome: "done", heads: [...heads, ...missing], number } };
  }

  onHeartbeat(follow: Follow): string {
    if (!this.isOpen) return "away";
    return this.#follows.onHeartbeat(follow) ? "done" : "resync";
  }

  fetch(fetch: Fetch): BodyInit {
    const log = this.#find(fetch.stream);
    if (!this.isOpen || log === undefined) return { case: "fetchReply", value: { outcome: "away" } };
    return fetchFrom(log, fetch);
  }

  tick(): void {
    if (this.#follows.count === 0) return;
    this.#follows.forgetSilent();
    this.#closeWhereMustBe();
  }

  #closeWhereMustBe(): void {
    if (this.#follows.count > 0 && !this.isOpen) this.#follows.leaveAll();
  }

  #find(stream: string): StreamLog | undefined {
    const log = this.#replica.state.streams.get(stream);
    if (log === undefined || this.#standings.isInMemory(stream)) return undefined;
    return this.#standings.of(stream, log.spaceIncarnation) === "ours" ? log : undefined;
  }

  #isHere({ stream, incarnation, spaceIncarnation }: StreamAt): boolean {
    const log = this.#find(stream);
    return log !== undefined && log.incarnation === incarnation && log.spaceIncarnation === spaceIncarnation;
  }

  /** A stream has news; or any may have, or be there no more in the incarnation that is followed, where it is none. */
  #heed(stream: string): void {
    if (this.#follows.count === 0) return;
    if (stream === "") this.#mustLookAtAll = true;
    else this.#fresh.add(stream);
    if (this.#isTurning) return;
    this.#isTurning = true;
    this.#turn.atEnd(() => this.#push());
  }

  #push(): void {
    const streams = this.#mustLookAtAll ? this.#follows.streams() : [...this.#fresh];
    this.#fresh.clear();
    this.#isTurning = this.#mustLookAtAll = false;
    if (!this.isOpen) return this.#closeWhereMustBe();
    this.#follows.askAgain(streams.filter((stream) => this.#follows.isOfAnotherIncarnation(stream)));
    this.#follows.push(streams);
  }
}
