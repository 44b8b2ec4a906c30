import type { LeaderAuthority } from "./leaderAuthority.js";
import type { ServedStreams } from "./servedStreams.js";
import type { PushBatcher } from "../follows/pushBatcher.js";
import type { StreamFollowers } from "../follows/streamFollowers.js";

/**
 * Pushes accepted messages to the followers, once at the end of an event-loop turn.
 * Invariant: while the leader may not act, nothing is pushed and no tail in memory is trimmed.
 */
export class StreamPusher {
  readonly #authority: LeaderAuthority;
  readonly #streams: ServedStreams;
  readonly #followers: StreamFollowers;
  readonly #batcher: PushBatcher;
  /** Streams with messages that are committed and not pushed yet. */
  readonly #unpushed = new Set<string>();
  /** The push at the end of this turn, for callers that wait for it; undefined if none is scheduled. */
  #pendingPush: Promise<boolean> | undefined;

  constructor(authority: LeaderAuthority, streams: ServedStreams, followers: StreamFollowers, batcher: PushBatcher) {
    this.#authority = authority;
    this.#streams = streams;
    this.#followers = followers;
    this.#batcher = batcher;
  }

  /**
   * Pushes at the end of this turn what the stream's followers lack; false if the leader may not act any more by then.
   */
  push(stream: string): Promise<boolean> {
    this.#unpushed.add(stream);
    this.#pendingPush ??= new Promise((resolve) => {
      this.#batcher.runAtTurnEnd(() => resolve(this.#pushAll()));
    });
    return this.#pendingPush;
  }

  #pushAll(): boolean {
    const streams = [...this.#unpushed];
    this.#unpushed.clear();
    this.#pendingPush = undefined;
    if (!this.#authority.isAuthorized) return false;
    this.#followers.push(streams.filter((stream) => !this.#streams.isEnded(stream)));
    this.#streams.memory.trim(streams);
    return true;
  }
}
