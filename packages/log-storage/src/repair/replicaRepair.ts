import type { Member } from "@cranetrack/core/gen/cranetrack_pb.js";
import { HolderKey } from "@cranetrack/core/keys/holderKey.js";
import { ReplicasKey } from "@cranetrack/core/keys/replicasKey.js";
import type { ShardSet } from "@cranetrack/core/feeds/shardSet.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { Rendezvous } from "@cranetrack/core/membership/rendezvous.js";
import type { Holder } from "../shards/holder.js";
import type { Replica } from "../replication/replica.js";

type Place = ShardSet["members"][number];
interface Move {
  out: Place;
  in: Place;
  set: ShardSet;
  step: "copying" | "joining";
  joinedAt: number;
  startedAt: number;
  why: string;
}
/** The set that the store has taken, and the epoch under which this disk holds it; 0 where it is out. */
export interface Swap {
  set: ShardSet;
  epoch: number;
}

/**
 * Keeps one held shard's replica set whole: replaces what is lost, moves off what is to be emptied, and
 * goes back to storage machines when there are some.
 * Invariants: one member is swapped at a time; the newcomer has everything before it counts; from the
 * moment it may count until the swap is decided, commits need a majority of the old set and of the new.
 */
export class ReplicaRepair {
  static readonly goneMs = 10_000;
  static readonly giveUpMs = 60_000;
  static readonly nearly = 20;

  readonly #node: ClusterNode;
  readonly #replica: Replica;
  readonly #holder: Holder;
  readonly #lease: string;
  #move: Move | undefined;
  #isWriting = false;

  constructor(node: ClusterNode, replica: Replica, holder: Holder, lease: string) {
    this.#node = node;
    this.#replica = replica;
    this.#holder = holder;
    this.#lease = lease;
  }

  get progress(): { out: string; in: string; step: string; why: string } | undefined {
    return this.#move === undefined
      ? undefined
      : { out: this.#move.out.name, in: this.#move.in.name, step: this.#move.step, why: this.#move.why };
  }

  /** One step further; a set that the store has taken is handed back to be held under its new epoch. */
  async beat(mayStart: boolean): Promise<Swap | undefined> {
    if (!this.#holder.isServing || this.#isWriting) return undefined;
    if (this.#move === undefined) {
      if (mayStart) this.#begin();
      return undefined;
    }
    const move = this.#move;
    const { spread } = this.#holder;
    const { clock } = this.#node.parts;
    if (spread === undefined) return undefined;
    const isLost = spread.heardAgo(move.in.id) > 3000 || clock.now() - move.startedAt > ReplicaRepair.giveUpMs;
    if (isLost && move.step === "copying") return this.#drop();
    if (move.step === "copying") {
      if (this.#replica.log.lastIndex - spread.matchOf(move.in.id) > ReplicaRepair.nearly) return undefined;
      move.step = "joining";
      move.joinedAt = this.#replica.log.lastIndex;
      this.#holder.enlist([this.#holder.set, move.set], []);
      return undefined;
    }
    if (spread.matchOf(move.in.id) < move.joinedAt || spread.commit < move.joinedAt)
      return isLost ? this.#drop() : undefined;
    return this.#swap(move);
  }

  #drop(): undefined {
    this.#move = undefined;
    this.#holder.enlist([this.#holder.set], []);
  }

  #begin(): void {
    const out = this.#leaving();
    if (out === undefined) return;
    const rest = this.#holder.set.members.filter((member) => member.id !== out.place.id);
    const chosen = this.#newcomer(out.place, rest, out.mustBeStorage);
    if (chosen === undefined) return;
    const place: Place = { id: chosen.shelf, name: chosen.name, zone: chosen.zone };
    this.#move = {
      out: out.place,
      in: place,
      set: { members: [...rest, place] },
      step: "copying",
      joinedAt: 0,
      startedAt: this.#node.parts.clock.now(),
      why: out.why,
    };
    this.#holder.enlist([this.#holder.set], [place.id]);
    this.#node.parts.log.note("replaces a replica", {
      shard: this.#replica.shard,
      out: out.place.name,
      in: place.name,
      why: out.why,
    });
  }

  #leaving(): { place: Place; why: string; mustBeStorage: boolean } | undefined {
    const { members } = this.#holder.set;
    const { membership, machines } = this.#node;
    const emptied = members.find((member) => machines.isDraining(member.name));
    if (emptied !== undefined) return { place: emptied, why: "the machine is being emptied", mustBeStorage: false };
    const blank = members.find((member) => {
      const present = membership.find(member.name);
      return (
        present !== undefined && present.shelf !== "" && present.shelf !== member.id && membership.isAlive(member.name)
      );
    });
    if (blank !== undefined)
      return { place: blank, why: "the machine came back with a blank disk", mustBeStorage: false };
    const gone = members.find((member) => (this.#holder.spread?.heardAgo(member.id) ?? 0) > ReplicaRepair.goneMs);
    if (gone !== undefined) return { place: gone, why: "the replica is gone", mustBeStorage: false };
    const spare = members.find((member) => membership.find(member.name)?.isStorage === false);
    return spare === undefined
      ? undefined
      : { place: spare, why: "a storage machine is there for a spare", mustBeStorage: true };
  }

  /** Never into a zone the others are in, where the machines that stay have zones enough. */
  #newcomer(out: Place, rest: readonly Place[], mustBeStorage: boolean): Member | undefined {
    const { membership, machines } = this.#node;
    const disks = membership
      .all()
      .filter((member) => member.shelf !== "" && member.shelf !== out.id && !machines.isDraining(member.name));
    const hasZones = new Set(disks.map((member) => member.zone)).size >= 3;
    const taken = new Set(rest.map((member) => member.zone));
    const free = disks.filter(
      (member) =>
        membership.isAlive(member.name) &&
        !rest.some((one) => one.id === member.shelf || one.name === member.name) &&
        !(hasZones && taken.has(member.zone)),
    );
    const storage = free.filter((member) => member.isStorage);
    const pool = storage.length > 0 || mustBeStorage ? storage : free;
    const first = Rendezvous.rank(
      `replicas ${this.#replica.shard}`,
      pool.map((member) => member.name),
    )[0];
    return pool.find((member) => member.name === first);
  }

  async #swap(move: Move): Promise<Swap | undefined> {
    this.#isWriting = true;
    const { shard, id } = this.#replica;
    const isOut = move.out.id === id;
    const holderKey = HolderKey.of(shard);
    const setKey = ReplicasKey.of(shard);
    const { setRevision } = this.#node.shards.find(shard);
    const checks = [
      { key: holderKey, revision: this.#holder.epoch },
      { key: setKey, revision: setRevision },
    ];
    const setPut = { key: setKey, value: ReplicasKey.write(move.set) };
    const holderPut = {
      key: holderKey,
      value: HolderKey.write({ name: this.#node.exchange.name, id, lease: this.#lease }),
      lease: this.#lease,
    };
    const written = await this.#node.store.txn(
      isOut ? { checks, puts: [setPut], deletes: [holderKey] } : { checks, puts: [setPut, holderPut] },
    );
    this.#isWriting = false;
    if (written.outcome === "done") return { set: move.set, epoch: isOut ? 0 : written.revision! };
    if (written.outcome === "conflict") this.#holder.stop("the store names another holder or set");
    return undefined;
  }
}
