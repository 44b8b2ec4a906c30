import { createCipheriv } from "node:crypto";
import { proposeConfiguration } from "@cranetrack/control/configuration/proposeConfiguration.js";
import type { RaftNode } from "@cranetrack/control/consensus/raftNode.js";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import { Scenario } from "./scenario.js";
import { SimFleet } from "./simFleet.js";
import { SimLoad } from "./simLoad.js";
import { SimConfigurations, type SimSpaces } from "./simConfigurations.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

/** How a member of the metadata store returns: with its disk, with an empty disk, or as a new machine. */
export type ReturnMode = "restarted" | "blank" | "new";

export interface CatchUpOptions {
  readonly seed: number;
  readonly comeback: ReturnMode;
  /** Number of sequential configuration changes while the member is down. */
  readonly changes: number;
  /** Routes in each configuration, and size in bytes of the operators' document stored with it. */
  readonly routes: number;
  readonly documentBytes: number;
}

export interface CatchUpReport {
  readonly comeback: ReturnMode;
  /** Virtual ms from its start until it had applied all that the leader had committed; undefined if it never did. */
  readonly caughtUpMs: number | undefined;
  /** Bytes sent to it meanwhile: in total, in frames with snapshot chunks, and in frames with log entries. */
  readonly bytes: { readonly all: number; readonly pieces: number; readonly appends: number };
  /** Size of the largest snapshot frame, in bytes. */
  readonly longestPiece: number;
  /** Bytes on the fullest disk of a control node. */
  readonly diskBytes: number;
  readonly changesMade: number;
}

/**
 * Takes a member of the store down during many large configuration changes, brings it back while they continue, and
 * measures how long it takes to catch up in virtual time and how many bytes that costs.
 */
export class CatchUp {
  static readonly changeIntervalMs = 100;
  static readonly catchUpTimeoutMs = 20_000;

  readonly #options: CatchUpOptions;
  readonly #fleet: SimFleet;
  readonly #load: SimLoad;
  #isChanging = false;
  #acceptedChanges = 0;
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
    if (!(await this.#load.start(0, 6, ["lathe-4"]))) throw new Error("the fleet did not start serving");
    const absentMember = fleet.withRole("lathe").find((name) => name !== "lathe-4" && name !== fleet.leader)!;
    this.#stopMember(absentMember);
    void this.#proposeChanges();
    if (!(await fleet.until(() => this.#acceptedChanges >= this.#options.changes, this.#options.changes * 2000)))
      throw new Error("the configuration changes were not accepted in time");
    const returningMember = this.#options.comeback === "new" ? "lathe-4" : absentMember;
    this.#countBytesTo(fleet.addressOf(returningMember));
    const startedAt = fleet.world.now;
    fleet.start(returningMember);
    const isCaughtUp = await fleet.until(() => this.#isCaughtUp(returningMember), CatchUp.catchUpTimeoutMs);
    const caughtUpMs = isCaughtUp ? fleet.world.now - startedAt : undefined;
    this.#isChanging = false;
    return {
      comeback: this.#options.comeback,
      caughtUpMs,
      bytes: this.#bytes,
      longestPiece: this.#longestPiece,
      diskBytes: Math.max(...fleet.withRole("lathe").map((name) => fleet.diskOf(name).bytes)),
      changesMade: this.#acceptedChanges,
    };
  }

  #stopMember(absentMember: string): void {
    if (this.#options.comeback === "restarted") return this.#fleet.kill(absentMember);
    if (this.#options.comeback === "new") return this.#fleet.removeForGood(absentMember);
    this.#fleet.wipe(absentMember);
  }

  #raftOf(name: string): RaftNode | undefined {
    return this.#fleet.find(name)?.control?.raft;
  }

  /** Whether its commit index is at most one entry behind the leader's; the changes continue meanwhile. */
  #isCaughtUp(name: string): boolean {
    const { leader: leaderName } = this.#fleet;
    const leader = leaderName === undefined ? undefined : this.#raftOf(leaderName);
    const own = this.#raftOf(name);
    return (
      own !== undefined && leader !== undefined && own.commitIndex > 0 && own.commitIndex >= leader.commitIndex - 1
    );
  }

  /** Proposes one change after the other at the leader, until `#isChanging` is cleared. */
  async #proposeChanges(): Promise<void> {
    this.#isChanging = true;
    while (this.#isChanging) {
      const { leader: leaderName } = this.#fleet;
      const node = leaderName === undefined ? undefined : this.#fleet.find(leaderName)?.node;
      if (node !== undefined) {
        const answer = await proposeConfiguration(node, Buffer.from(this.#configuration()), this.#document());
        if (answer.status === 200) this.#acceptedChanges += 1;
      }
      await new Promise<void>((resolve) => {
        this.#fleet.world.at(this.#fleet.world.now + CatchUp.changeIntervalMs, resolve);
      });
    }
  }

  #configuration(): string {
    const spaces: SimSpaces = SimConfigurations.usual();
    for (let i = 0; i < this.#options.routes; i += 1) spaces[`route-${i}`] = spaces["notes"]!;
    return documentTextOf(SimConfigurations.write(this.#load.nextVersion, spaces, Object.keys(spaces)));
  }

  /** Worst case: pseudo-random bytes, which neither compression nor a diff to the previous document makes smaller. */
  #document(): Uint8Array {
    const key = Buffer.alloc(16);
    key.writeUInt32BE(this.#acceptedChanges);
    return createCipheriv("aes-128-ctr", key, Buffer.alloc(16)).update(Buffer.alloc(this.#options.documentBytes));
  }

  #countBytesTo(address: string): void {
    this.#fleet.wires.mutate = (_from, to, bytes) => {
      if (to !== address) return undefined;
      this.#bytes.all += bytes.length;
      const bodyCase = Wire.decode(bytes)?.body.case;
      if (bodyCase === "append") this.#bytes.appends += bytes.length;
      if (bodyCase === "snapshot") {
        this.#bytes.pieces += bytes.length;
        this.#longestPiece = Math.max(this.#longestPiece, bytes.length);
      }
      return undefined;
    };
  }
}
