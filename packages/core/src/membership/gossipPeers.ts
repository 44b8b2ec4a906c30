import type { Member } from "../gen/cranetrack_pb.js";
import type { RandomSource } from "../runtime/random.js";
import { MemberTable } from "./memberTable.js";
import { Rendezvous, RendezvousKeys } from "./rendezvous.js";

interface GossipPeersParts {
  readonly self: string;
  readonly table: MemberTable;
  readonly random: RandomSource;
  /** Members that this node sends its heartbeats to. */
  readonly watchers: number;
  /** Members that it asks for a sign of life, and sends a change at once. */
  readonly partners: number;
  isUnresponsive(name: string): boolean;
}

/**
 * Whom a node gossips with. Watchers and partners are named by rendezvous hashing over the members that are up, so that
 * every node that has the same table names the same ones, and a change of one member moves few of them.
 * Invariant: no member is a watcher and a partner, and none is the node itself.
 */
export class GossipPeers {
  readonly #parts: GossipPeersParts;
  #peersOf: readonly Member[] | undefined;
  #peers: Member[] = [];
  #watchers: Member[] = [];
  #partners: Member[] = [];

  constructor(parts: GossipPeersParts) {
    this.#parts = parts;
  }

  /** The others that are up; the same array until the table changes. */
  up(): Member[] {
    const { self, table } = this.#parts;
    const all = table.all();
    if (this.#peersOf !== all) {
      this.#peersOf = all;
      this.#peers = all.filter((member) => member.name !== self && MemberTable.isUp(member));
      const chosen = (key: string, among: readonly Member[], count: number): Member[] =>
        Rendezvous.choose(key, among, count).map((name) => table.find(name)!.member);
      this.#watchers = chosen(self, this.#peers, this.#parts.watchers);
      const others = this.#peers.filter((member) => !this.#watchers.includes(member));
      this.#partners = chosen(RendezvousKeys.gossipPartners(self), others, this.#parts.partners);
    }
    return this.#peers;
  }

  /** The members that this node sends its heartbeats to. */
  watchers(): Member[] {
    this.up();
    return this.#watchers;
  }

  /** The members that this node asks for a sign of life in between. */
  partners(): Member[] {
    this.up();
    return this.#partners;
  }

  /** Some of the others that are up and answer, at random. */
  draw(count: number, except = "", peers: readonly Member[] = this.up()): Member[] {
    const { random } = this.#parts;
    const drawn = new Set<Member>();
    for (let i = 0; i < 3 * count && drawn.size < Math.min(count, peers.length); i += 1) {
      const peer = peers[Math.floor(random.draw() * peers.length)]!;
      if (peer.name !== except && !this.#parts.isUnresponsive(peer.name)) drawn.add(peer);
    }
    return [...drawn];
  }
}
