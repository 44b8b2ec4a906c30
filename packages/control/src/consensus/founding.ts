import { EventEmitter } from "node:events";
import { create, toBinary } from "@bufbuild/protobuf";
import {
  EntrySchema,
  MembersSchema,
  type Founded,
  type FoundingRequest,
  type StoreMember,
  type Member,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import { logGroupNames } from "@cranetrack/core/replication/logGroups.js";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import type { Disk } from "@cranetrack/core/storage/disk.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import { entryKind } from "./storeLog.js";
import { MembershipStatus } from "../membership/membershipStatus.js";
import { nodeRole } from "@cranetrack/core/membership/nodeRole.js";

/** The record `identity` on the disk, stored as JSON, so the field names must never change. */
interface Identity {
  /** Random id of the disk, drawn when the disk was blank. */
  id: string;
  /** Id of the founding of the store that this disk belongs to; empty while it belongs to none. */
  founding: string;
  /** Id of the founding that this control node last agreed to; empty while there is none. */
  agreed: string;
  /** Members of the store by that founding, whether or not all of them have agreed to it. */
  members: Array<{ id: string; name: string }>;
  /** The setting `mayFound` as of when this disk was blank. */
  mayFound: boolean;
  /** The machine that the disk belongs to; older builds did not write it. */
  name?: string;
  /** How often a process was started on the disk; older builds did not write it. */
  starts?: number;
}

/**
 * Founds the metadata store, that is, bootstraps its Raft group. The founders are the control nodes at the addresses in
 * the settings or, if the settings name none, the configured number of blank control nodes. All of them must agree, and
 * each syncs its agreement first. Any other blank control node joins the store once it is founded.
 * Invariants: an identity is synced before it is used; a control node accepts only the founding that it last agreed to;
 * a control node that belongs to a store never agrees to another founding; a disk that was blank when the settings did
 * not allow founding takes part in a founding only together with a majority of the named founders, none of which
 * belongs to a store. Without a member of that majority no store can have committed anything.
 */
export class Founding extends EventEmitter<{ founded: [] }> {
  readonly #node: ClusterNode;
  readonly #disk: Disk;
  readonly #founderCount: number;
  readonly #founders: readonly string[] | undefined;
  #identity: Identity;
  #isTicking = false;
  #hasStarted = false;
  #nextJoinAt = 0;
  /** Whether a founded store has enough members without this node. */
  isStandby = false;
  /** What founding or joining waits for, for the status; empty once the node belongs to a store. */
  waitingFor = "";

  constructor(node: ClusterNode, disk: Disk) {
    super();
    this.#node = node;
    this.#disk = disk;
    const { founders, controlNodes: controlCount, mayFound } = node.parts.settings;
    this.#founders = founders;
    this.#founderCount = founders?.length ?? controlCount;
    const storedIdentity = disk.read("identity")[0];
    this.#identity =
      storedIdentity === undefined
        ? { id: node.parts.random.identity(), founding: "", agreed: "", members: [], mayFound }
        : (JSON.parse(Buffer.from(storedIdentity.value).toString()) as Identity);
    node.rpc.serve("foundingRequest", (request) => this.#handleFoundingRequest(request));
    node.rpc.serve("founded", (founded) => this.#handleFounded(founded));
  }

  /** Id of this disk; changes only if the disk is wiped. */
  get diskId(): string {
    return this.#identity.id;
  }

  /** Id of the founding of the store that this disk belongs to; empty until the store is founded or joined. */
  get foundingId(): string {
    return this.#identity.founding;
  }

  get #isFounder(): boolean {
    const { address } = this.#node.parts.settings;
    return this.foundingId === "" && this.#identity.mayFound && (this.#founders?.includes(address) ?? true);
  }

  /** An error message if the disk belongs to another machine, whose place as a member it would take. */
  diskFault(): string | undefined {
    const { name } = this.#node.parts.settings;
    const owner = this.#identity.name ?? name;
    return owner === name ? undefined : `the data folder is that of ${owner}, and this is ${name}`;
  }

  /**
   * Records this start on the disk; afterwards the node may agree to foundings. Emits `founded` immediately if the disk
   * belongs to a store, otherwise once it does.
   */
  async start(): Promise<void> {
    const { incarnation, settings } = this.#node.parts;
    this.#identity = { ...this.#identity, name: settings.name, starts: (this.#identity.starts ?? 0) + 1 };
    await this.#writeIdentity();
    const { self } = this.#node.membership;
    self.processIncarnation = String(incarnation);
    self.diskStarts = this.#identity.starts!;
    this.#hasStarted = true;
    if (this.foundingId !== "") return void this.emit("founded");
    this.#node.parts.clock.every(250, () => void this.#tick());
  }

  #writeIdentity(): Promise<void> {
    const { self } = this.#node.membership;
    self.disk = this.#identity.id;
    self.isFounder = this.#isFounder;
    return this.#disk.write([{ key: "identity", value: Buffer.from(JSON.stringify(this.#identity)) }]);
  }

  async #tick(): Promise<void> {
    if (this.foundingId !== "" || this.#isTicking || !this.#hasStarted) return;
    this.#isTicking = true;
    const controlNodes = this.#node.membership.alive(nodeRole.control).filter((member) => member.disk !== "");
    const founders = controlNodes.filter((member) => member.isFounder && this.#isFounderAddress(member.address));
    const foundedNode =
      controlNodes.find((member) => member.isInStore) ?? controlNodes.find((member) => member.isFounded);
    if (foundedNode !== undefined) await this.#join(foundedNode);
    else if (!this.#isFounder) this.waitingFor = "waits for a founded store to join, and founds none itself";
    else {
      const candidates = this.#candidates(controlNodes, founders);
      if (candidates.length !== this.#founderCount)
        this.waitingFor =
          `founding waits: ${candidates.length} of ${this.#founderCount} blank lathes are here ` +
          `(${candidates.map((member) => member.name).join(", ")})`;
      else if (this.#isProposer(founders)) await this.#proposeFounding(candidates);
      else this.waitingFor = "founding waits for the agreement of all control nodes";
    }
    this.#isTicking = false;
  }

  /**
   * The control nodes that may found the store together: the founders. If a majority of the founders named in the
   * settings is present, a control node at a named address takes part even if it says that it may not found: its
   * process ended during its first start before it wrote to its disk.
   */
  #candidates(controlNodes: readonly Member[], founders: readonly Member[]): readonly Member[] {
    if (this.#founders === undefined || !this.#isMajority(founders.length)) return founders;
    return controlNodes.filter((member) => this.#isFounderAddress(member.address));
  }

  #isMajority(count: number): boolean {
    return count > this.#founderCount / 2;
  }

  /** Whether this disk may take part in a founding with these members. */
  #mayAgreeWith(members: readonly StoreMember[]): boolean {
    if (this.#isFounder) return true;
    const founders = members.filter(({ name }) => this.#node.membership.find(name)?.isFounder === true);
    return this.foundingId === "" && this.#isMajority(founders.length);
  }

  #isFounderAddress(address: string | undefined): boolean {
    return this.#founders === undefined || (address !== undefined && this.#founders.includes(address));
  }

  /** Whether this node proposes the founding: its disk has the lowest id of all. */
  #isProposer(controlNodes: readonly Member[]): boolean {
    return controlNodes.every((member) => member.disk >= this.diskId);
  }

  /**
   * Asks all candidates to agree, and founds the store if every one of them does. A repeated attempt with the same
   * members uses the same founding id.
   */
  async #proposeFounding(controlNodes: readonly Member[]): Promise<void> {
    const members = controlNodes.map((member) => ({ id: member.disk, name: member.name }));
    const founding =
      this.#identity.agreed !== "" && JSON.stringify(this.#identity.members) === JSON.stringify(members)
        ? this.#identity.agreed
        : this.#node.parts.random.identity();
    const request: BodyInit = { case: "foundingRequest", value: { founding, members } };
    const ownReply = await this.#handleFoundingRequest({
      founding,
      members: members as StoreMember[],
    } as FoundingRequest);
    const others = members.filter((member) => member.id !== this.diskId);
    const replies = await Promise.all(others.map((member) => this.#node.rpc.call(member.name, request, 1000)));
    const withoutAgreement = others.filter(
      (_, i) => !(replies[i]?.case === "foundingReply" && replies[i].value.isAgreed),
    );
    this.waitingFor =
      withoutAgreement.length > 0
        ? `founding waits: no agreement of ${withoutAgreement.map((member) => member.name).join(", ")}`
        : "";
    const hasOwnAgreement = ownReply.case === "foundingReply" && ownReply.value.isAgreed === true;
    if (withoutAgreement.length > 0 || !hasOwnAgreement || this.#identity.agreed !== founding) return;
    await this.#writeFirstEntry(founding, members);
    for (const member of others) this.#node.rpc.send(member.name, { case: "founded", value: { founding, members } });
  }

  /** Agrees to a founding that fits the settings; the agreement is synced before the reply. */
  async #handleFoundingRequest(request: FoundingRequest): Promise<BodyInit> {
    if (this.foundingId !== "") return { case: "foundingReply", value: { isAgreed: false, veto: this.foundingId } };
    const mayAgree =
      this.#hasStarted &&
      this.#mayAgreeWith(request.members) &&
      request.members.length === this.#founderCount &&
      request.members.some((member) => member.id === this.diskId) &&
      request.members.every((member) => this.#isFounderAddress(this.#node.membership.find(member.name)?.address));
    if (!mayAgree) return { case: "foundingReply", value: { isAgreed: false, veto: "" } };
    const previouslyAgreed = this.#identity.agreed;
    this.#identity = {
      ...this.#identity,
      agreed: request.founding,
      members: request.members.map(({ id, name }) => ({ id, name })),
    };
    if (previouslyAgreed !== request.founding) await this.#writeIdentity();
    return {
      case: "foundingReply",
      value: { isAgreed: this.#identity.agreed === request.founding && this.foundingId === "", veto: "" },
    };
  }

  async #handleFounded(founded: Founded): Promise<undefined> {
    if (this.foundingId === "" && this.#identity.agreed === founded.founding)
      await this.#writeFirstEntry(founded.founding, founded.members);
    return undefined;
  }

  /** Writes the first entry of the log, the members; it is the same on all founders. */
  async #writeFirstEntry(founding: string, members: ReadonlyArray<{ id: string; name: string }>): Promise<void> {
    const log = new ReplicaLog(this.#disk, logGroupNames.store);
    if (log.lastIndex === 0) {
      const data = toBinary(MembersSchema, create(MembersSchema, { voters: [...members] as StoreMember[] }));
      await log.append([create(EntrySchema, { index: 1, term: 1, kind: entryKind.members, data })]);
    }
    await this.#completeFounding(founding);
  }

  async #completeFounding(founding: string): Promise<void> {
    if (this.foundingId !== "") return;
    this.#identity = { ...this.#identity, founding };
    await this.#writeIdentity();
    this.waitingFor = "";
    this.isStandby = false;
    this.emit("founded");
  }

  /**
   * Joins a founded store as a blank control node. A node that agreed to this founding missed the `founded` message and
   * only writes the first entry; any other node asks the store to admit it.
   */
  async #join(foundedNode: Member): Promise<void> {
    if (!this.isStandby) this.waitingFor = `asks ${foundedNode.name} to join the founded store`;
    if (this.#identity.agreed === foundedNode.founding)
      return this.#writeFirstEntry(foundedNode.founding, this.#identity.members);
    const { clock } = this.#node.parts;
    if (clock.now() < this.#nextJoinAt) return;
    const outcome = await MembershipStatus.requestJoin(this.#node, foundedNode.name, this.diskId);
    if (outcome === "done") return this.#completeFounding(foundedNode.founding);
    this.isStandby = outcome === "standby" || (outcome === "away" && this.isStandby);
    if (!this.isStandby) return;
    this.waitingFor = "stands by: enough control nodes vote";
    this.#nextJoinAt = clock.now() + MembershipStatus.tickIntervalMs;
  }
}
