import type { LeaderAuthority } from "./leaderAuthority.js";
import type { ServedStreams } from "./servedStreams.js";
import type { PushBatcher } from "../follows/pushBatcher.js";
import type { StreamFollowers } from "../follows/streamFollowers.js";

/**
 * Pushes what was accepted to the followers, once at the end of an event-loop turn.
 * Invariant: nothing is pushed, and no tail in memory trimmed, while the leader may not act.
 */
export class StreamPusher {
  readonly #authority: LeaderAuthority;
  readonly #streams: ServedStreams;
  readonly #followers: StreamFollowers;
  readonly #batcher: PushBatcher;
  /** Streams with messages committed and not yet pushed; and whoever waits for the push. */
  readonly #unpushed = new Set<string>();
  #pushed: Promise<boolean> | undefined;

  constructor(authority: LeaderAuthority, streams: ServedStreams, followers: StreamFollowers, batcher: PushBatcher) {
    this.#authority = authority;
    this.#streams = streams;
    this.#followers = followers;
    this.#batcher = batcher;
  }

  /** Pushes at the end of this turn what the followers lack; false where that may not be done any more. */
  push(stream: string): Promise<boolean> {
    this.#unpushed.add(stream);
    this.#pushed ??= new Promise((resolve) => {
      this.#batcher.runAtTurnEnd(() => resolve(this.#pushAll()));
    });
    return this.#pushed;
  }

  #pushAll(): boolean {
    const streams = [...this.#unpushed];
    this.#unpushed.clear();
    this.#pushed = undefined;
    if (!this.#authority.isOpen) return false;
    this.#followers.push(streams.filter((stream) => !this.#streams.isOver(stream)));
    this.#streams.memory.trim(streams);
    return true;
  }
}
