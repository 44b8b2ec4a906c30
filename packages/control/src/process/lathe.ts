import { Anvil } from "@cranetrack/log-storage/process/anvil.js";
import { PlanKey } from "@cranetrack/core/mark/planKey.js";
import { ReplicaLog } from "@cranetrack/core/mark/replicaLog.js";
import type { ClusterNode } from "@cranetrack/core/process/clusterNode.js";
import type { Disk } from "@cranetrack/core/process/disk.js";
import type { Router } from "@cranetrack/core/process/router.js";
import { ApiReceipts } from "@cranetrack/core/request/apiReceipt.js";
import { EmptyMachine } from "../request/emptyMachine.js";
import { getRollout } from "../request/getRollout.js";
import { putPlan } from "../request/putPlan.js";
import { Founding } from "./founding.js";
import { Ledger } from "./ledger.js";
import { Standing } from "./standing.js";
import { StoreDesk } from "./storeDesk.js";

/** A control node: the metadata store, and a place for topic logs, in full (`stores`) or as a spare. */
export class Lathe {
  readonly node: ClusterNode;
  readonly founding: Founding;
  readonly anvil: Anvil;
  readonly #disk: Disk;
  #ledger: Ledger | undefined;
  #desk: StoreDesk | undefined;

  constructor(node: ClusterNode, disk: Disk, router: Router) {
    this.node = node;
    this.#disk = disk;
    this.founding = new Founding(node, disk);
    this.anvil = new Anvil(node, disk, !node.parts.settings.stores);
    this.founding.on("founded", () => this.#begin());
    router.on("PUT", /^\/v1\/plan$/, (call) => putPlan(node, call.body));
    router.on("GET", /^\/v1\/plan$/, async () => {
      const read = await node.store.read([PlanKey.name]);
      if (read.outcome !== "done") return ApiReceipts.away("no majority of the lathes answers");
      return read.kvs![0] === undefined
        ? ApiReceipts.fault(404, "no-plan", "no plan was ever accepted")
        : ApiReceipts.done(read.kvs![0].value);
    });
    const emptying = /^\/v1\/machines\/([^/]+)\/emptying$/;
    router.on("PUT", emptying, (call) => EmptyMachine.ask(node, call.params[0]!));
    router.on("DELETE", emptying, (call) => EmptyMachine.undo(node, call.params[0]!));
    router.on("GET", emptying, (call) => EmptyMachine.progress(node, call.params[0]!));
    router.on("GET", /^\/v1\/plan\/rollout$/, () => getRollout(node));
  }

  get ledger(): Ledger | undefined {
    return this.#ledger;
  }

  /** Says what is wrong with the data folder, if anything is. */
  load(): string | undefined {
    return new ReplicaLog(this.#disk, "store").fault() ?? this.anvil.load();
  }

  async start(): Promise<void> {
    await this.anvil.start();
    await this.founding.start();
  }

  async stop(): Promise<void> {
    await this.anvil.stop();
    this.#ledger?.resign();
    this.#desk?.closeFeeds("the process is stopping");
  }

  /** Not a member of the store, which has enough: kept in mind for a loss, and ready for all else. */
  get isStandingBy(): boolean {
    return this.#ledger === undefined ? this.founding.isStandingBy : !this.node.membership.self.isInStore;
  }

  get isReady(): boolean {
    const isSettled = this.#ledger?.isInTouch === true || this.isStandingBy;
    return isSettled && this.node.feed.isFresh;
  }

  status(): object {
    const ledger = this.#ledger;
    const members = ledger?.members;
    return {
      founding: { id: this.founding.id, founded: this.founding.founding, missing: this.founding.missing },
      ledger:
        ledger === undefined
          ? null
          : {
              term: ledger.term,
              commit: ledger.commit,
              isProposer: ledger.isProposer,
              proposer: ledger.proposerName,
              isInTouch: ledger.isInTouch,
              voters: members!.voters.map((one) => one.name),
              learners: members!.learners.map((one) => one.name),
            },
      anvil: this.anvil.status(),
    };
  }

  #begin(): void {
    const { exchange, groups, membership, parts } = this.node;
    const log = new ReplicaLog(this.#disk, "store");
    this.#ledger = new Ledger({
      id: this.founding.id,
      founding: this.founding.founding,
      log,
      exchange,
      groups,
      electionMs: parts.settings.electionMs,
      clock: parts.clock,
      chance: parts.chance,
      ring: parts.log,
    });
    this.#desk = new StoreDesk(this.node, this.#ledger);
    membership.self.isFounded = true;
    membership.self.founding = this.founding.founding;
    new Standing(this.node, this.#ledger);
    membership.tellNow();
  }
}
