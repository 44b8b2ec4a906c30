import { createCipheriv } from "node:crypto";
import { proposeConfiguration } from "@cranetrack/control/configuration/proposeConfiguration.js";
import type { RaftNode } from "@cranetrack/control/consensus/raftNode.js";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import { Scenario } from "./scenario.js";
import { SimFleet } from "./simFleet.js";
import { SimLoad } from "./simLoad.js";
import { SimConfigurations, type SimSpaces } from "./simConfigurations.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

/** How a member of the metadata store comes back: with its disk, with an empty one, or as another machine. */
export type Comeback = "restarted" | "blank" | "new";

export interface CatchUpOptions {
  readonly seed: number;
  readonly comeback: Comeback;
  /** Changes of configuration while the member is away, one after the other. */
  readonly changes: number;
  /** Routes in each configuration, and bytes of the operators' document beside it. */
  readonly routes: number;
  readonly documentBytes: number;
}

export interface CatchUpReport {
  readonly comeback: Comeback;
  /** From its start until it had applied all that the leader had committed; undefined where that never came. */
  readonly caughtUpMs: number | undefined;
  /** Bytes that came to it on the way, and how many of them were pieces of a snapshot, and entries. */
  readonly bytes: { readonly all: number; readonly pieces: number; readonly appends: number };
  /** The longest frame of a snapshot. */
  readonly longestPiece: number;
  /** What the fullest disk of a member keeps, and how many entries of the log the leader holds in memory. */
  readonly diskBytes: number;
  readonly changesMade: number;
}

/**
 * A member of the store is away during many big changes, and comes back while they go on: how long until it is
 * caught up, in virtual time, and what that costs.
 */
export class CatchUp {
  static readonly changeMs = 100;
  static readonly maxMs = 20_000;

  readonly #options: CatchUpOptions;
  readonly #fleet: SimFleet;
  readonly #load: SimLoad;
  #isChanging = false;
  #made = 0;
  #bytes = { all: 0, pieces: 0, appends: 0 };
  #longestPiece = 0;

  private constructor(options: CatchUpOptions) {
    this.#options = options;
    this.#fleet = new SimFleet(options.seed, Scenario.machines(4, 3, 1));
    for (const name of this.#fleet.names) this.#fleet.configure(name, { controlNodes: 3, voters: 3 });
    this.#load = new SimLoad(this.#fleet);
  }

  static async run(options: CatchUpOptions): Promise<CatchUpReport> {
    return new CatchUp(options).#run();
  }

  async #run(): Promise<CatchUpReport> {
    const fleet = this.#fleet;
    if (!(await this.#load.begin(0, 6, ["lathe-4"]))) throw new Error("the fleet did not begin");
    const unreachableMachines = fleet.withRole("lathe").find((name) => name !== "lathe-4" && name !== fleet.leader)!;
    this.#leave(unreachableMachines);
    void this.#change();
    if (!(await fleet.until(() => this.#made >= this.#options.changes, this.#options.changes * 2000)))
      throw new Error("the changes were not taken");
    const back = this.#options.comeback === "new" ? "lathe-4" : unreachableMachines;
    this.#countBytesTo(fleet.addressOf(back));
    const startedAt = fleet.world.now;
    fleet.start(back);
    const isCaughtUp = await fleet.until(() => this.#isCaughtUp(back), CatchUp.maxMs);
    const caughtUpMs = isCaughtUp ? fleet.world.now - startedAt : undefined;
    this.#isChanging = false;
    return {
      comeback: this.#options.comeback,
      caughtUpMs,
      bytes: this.#bytes,
      longestPiece: this.#longestPiece,
      diskBytes: Math.max(...fleet.withRole("lathe").map((name) => fleet.diskOf(name).bytes)),
      changesMade: this.#made,
    };
  }

  #leave(unreachableMachines: string): void {
    if (this.#options.comeback === "restarted") return this.#fleet.kill(unreachableMachines);
    if (this.#options.comeback === "new") return this.#fleet.retire(unreachableMachines);
    this.#fleet.wipe(unreachableMachines);
  }

  #raftOf(name: string): RaftNode | undefined {
    return this.#fleet.find(name)?.control?.raft;
  }

  /** All that was committed is applied there, and the changes went on meanwhile. */
  #isCaughtUp(name: string): boolean {
    const { leader: leaderName } = this.#fleet;
    const leader = leaderName === undefined ? undefined : this.#raftOf(leaderName);
    const own = this.#raftOf(name);
    return own !== undefined && leader !== undefined && own.commit > 0 && own.commit >= leader.commit - 1;
  }

  /** One change after the other, at a node that answers. */
  async #change(): Promise<void> {
    this.#isChanging = true;
    while (this.#isChanging) {
      const { leader: leaderName } = this.#fleet;
      const node = leaderName === undefined ? undefined : this.#fleet.find(leaderName)?.node;
      if (node !== undefined) {
        const answer = await proposeConfiguration(node, Buffer.from(this.#configuration()), this.#document());
        if (answer.status === 200) this.#made += 1;
      }
      await new Promise<void>((resolve) => {
        this.#fleet.world.at(this.#fleet.world.now + CatchUp.changeMs, resolve);
      });
    }
  }

  #configuration(): string {
    const spaces: SimSpaces = SimConfigurations.usual();
    for (let i = 0; i < this.#options.routes; i += 1) spaces[`route-${i}`] = spaces["notes"]!;
    return documentTextOf(SimConfigurations.write(this.#load.nextVersion, spaces, Object.keys(spaces)));
  }

  /** Bytes that no compression makes smaller and no difference from the document before: the worst there can be. */
  #document(): Uint8Array {
    const key = Buffer.alloc(16);
    key.writeUInt32BE(this.#made);
    return createCipheriv("aes-128-ctr", key, Buffer.alloc(16)).update(Buffer.alloc(this.#options.documentBytes));
  }

  #countBytesTo(address: string): void {
    this.#fleet.wires.mutate = (_from, to, bytes) => {
      if (to !== address) return undefined;
      this.#bytes.all += bytes.length;
      const kind = Wire.decode(bytes)?.body.case;
      if (kind === "append") this.#bytes.appends += bytes.length;
      if (kind === "snapshot") {
        this.#bytes.pieces += bytes.length;
        this.#longestPiece = Math.max(this.#longestPiece, bytes.length);
      }
      return undefined;
    };
  }
}
