import { AddressBook } from "../membership/addressBook.js";
import { RpcEndpoint } from "../rpc/rpcEndpoint.js";
import { FeedFollower, type Change } from "../feeds/feedFollower.js";
import { LogGroups } from "../replication/logGroups.js";
import { ChangeJournal } from "../feeds/changeJournal.js";
import { ConfigurationVerifier } from "../configuration/configurationVerifier.js";
import { InvariantMonitor } from "./invariantMonitor.js";
import { LoadMonitor } from "./loadMonitor.js";
import { Membership } from "../membership/membership.js";
import type { NodeParts } from "./nodeParts.js";
import { MachinesView } from "../feeds/machinesView.js";
import { ConfigurationView } from "../configuration/configurationView.js";
import { ShardsView } from "../feeds/shardsView.js";
import { PackedValue } from "../store/packedValue.js";
import { StoreClient } from "../store/storeClient.js";
import { nodeRole } from "../membership/nodeRole.js";

/** The parts that every node of the cluster has, whatever its role. */
export class ClusterNode {
  static readonly #maxJournalChanges = 2000;
  /** Drops large values from the change journal: thousands of whole configurations would not fit into memory. */
  static readonly #withoutLargeValue = (change: Change): Change =>
    change.value !== undefined && PackedValue.isLarge(change.value) ? { ...change, value: new Uint8Array() } : change;

  readonly parts: NodeParts;
  readonly invariants: InvariantMonitor;
  readonly load: LoadMonitor;
  readonly rpc: RpcEndpoint;
  readonly groups: LogGroups;
  readonly membership: Membership;
  readonly store: StoreClient;
  readonly journal = new ChangeJournal<Change>(ClusterNode.#maxJournalChanges, ClusterNode.#withoutLargeValue);
  readonly feed: FeedFollower;
  readonly machines: MachinesView;
  readonly configuration: ConfigurationView;
  readonly configurationVerifier: ConfigurationVerifier;
  readonly shards: ShardsView;
  readonly #addressBook: AddressBook | undefined;

  constructor(parts: NodeParts, prefixes: string[], disk = "") {
    const { settings, clock, transport, random } = parts;
    this.parts = parts;
    this.invariants = new InvariantMonitor(parts.log);
    this.load = new LoadMonitor(clock, parts.log, parts.processorMs ?? (() => 0));
    this.rpc = new RpcEndpoint(settings.name, transport, clock, random);
    this.groups = new LogGroups(this.rpc);
    const self = {
      name: settings.name,
      role: settings.role,
      zone: settings.zone,
      address: settings.address,
      http: settings.http ?? "",
      clients: settings.clients ?? "",
      region: settings.region ?? "",
      incarnation: parts.incarnation,
      isStorage: settings.role === nodeRole.storage || (settings.role === nodeRole.control && settings.stores),
      disk,
    };
    this.load.add("rpc", () => ({ fields: this.#rpcFields(), isNotable: false }));
    this.membership = new Membership(self, settings.seeds, this.rpc, clock, random);
    if (parts.disk !== undefined) this.#addressBook = new AddressBook(parts.disk, this.membership, clock);
    this.store = new StoreClient(this.rpc, this.membership, clock);
    this.feed = new FeedFollower({
      rpc: this.rpc,
      membership: this.membership,
      clock,
      random,
      prefixes,
      journal: this.journal,
    });
    this.machines = new MachinesView(this.journal);
    this.configuration = new ConfigurationView(this.journal, this.invariants);
    this.configurationVerifier = new ConfigurationVerifier(this.invariants, () => this.configuration.revision);
    this.shards = new ShardsView(this.journal);
    this.feed.configurationVersion = () => this.configuration.version;
    this.feed.fault = () => this.configuration.fault;
  }

  #rpcFields(): Record<string, number> {
    const { unresponsiveCount, droppedConnectionCount, traffic } = this.rpc;
    const relayed = traffic.counts()["relay"]?.sent ?? 0;
    return { unresponsiveCount, droppedConnectionCount, relayed, feedAgeMs: Math.round(Math.min(this.feed.age, 1e9)) };
  }

  start(): void {
    this.load.start();
    this.membership.start();
    this.#addressBook?.start();
    this.feed.start();
  }
}
