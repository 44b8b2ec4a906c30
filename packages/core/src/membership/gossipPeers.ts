import type { Member } from "../gen/cranetrack_pb.js";
import type { RandomSource } from "../runtime/random.js";
import { MemberTable } from "./memberTable.js";
import { Rendezvous, RendezvousKeys } from "./rendezvous.js";

interface GossipPeersDependencies {
  readonly self: string;
  readonly table: MemberTable;
  readonly random: RandomSource;
  /** Members that this node sends its heartbeats to. */
  readonly watcherCount: number;
  /** Members that this node asks for an answer in turn, and sends changes to at once. */
  readonly partnerCount: number;
  isUnresponsive(name: string): boolean;
}

/**
 * The members that a node gossips with. Watchers and partners are chosen by rendezvous hashing over the members that
 * are up, so that every node with the same table chooses the same ones and a change of one member moves few of them.
 * Invariant: no member is both a watcher and a partner, and neither is the node itself.
 */
export class GossipPeers {
  readonly #dependencies: GossipPeersDependencies;
  #sourceMembers: readonly Member[] | undefined;
  #upPeers: Member[] = [];
  #watchers: Member[] = [];
  #partners: Member[] = [];

  constructor(dependencies: GossipPeersDependencies) {
    this.#dependencies = dependencies;
  }

  /** The other members that are up; the same array until the table changes. */
  upPeers(): Member[] {
    const { self, table } = this.#dependencies;
    const members = table.all();
    if (this.#sourceMembers !== members) {
      this.#sourceMembers = members;
      this.#upPeers = members.filter((member) => member.name !== self && MemberTable.isUp(member));
      const choose = (key: string, candidates: readonly Member[], count: number): Member[] =>
        Rendezvous.choose(key, candidates, count).map((name) => table.find(name)!.member);
      this.#watchers = choose(self, this.#upPeers, this.#dependencies.watcherCount);
      const others = this.#upPeers.filter((member) => !this.#watchers.includes(member));
      this.#partners = choose(RendezvousKeys.gossipPartners(self), others, this.#dependencies.partnerCount);
    }
    return this.#upPeers;
  }

  /** The members that this node sends its heartbeats to. */
  watchers(): Member[] {
    this.upPeers();
    return this.#watchers;
  }

  /** The members that this node asks for an answer between heartbeats. */
  partners(): Member[] {
    this.upPeers();
    return this.#partners;
  }

  /** Up to `count` random members of `peers`, other than `except`, that are responsive. */
  pickRandom(count: number, except = "", peers: readonly Member[] = this.upPeers()): Member[] {
    const { random } = this.#dependencies;
    const picked = new Set<Member>();
    for (let i = 0; i < 3 * count && picked.size < Math.min(count, peers.length); i += 1) {
      const peer = peers[Math.floor(random.draw() * peers.length)]!;
      if (peer.name !== except && !this.#dependencies.isUnresponsive(peer.name)) picked.add(peer);
    }
    return [...picked];
  }
}
