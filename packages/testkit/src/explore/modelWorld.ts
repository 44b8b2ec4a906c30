import { createHash } from "node:crypto";
import { create, toBinary } from "@bufbuild/protobuf";
import { entryKind } from "@cranetrack/control/consensus/storeLog.js";
import { EntrySchema, MembersSchema, type StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import type { Action } from "./action.js";
import { ModelClients } from "./modelClients.js";
import { Coverage } from "./coverage.js";
import { MemberSteps } from "./memberSteps.js";
import { ModelMachine } from "./modelMachine.js";
import { ModelMember, modelBounds } from "./modelMember.js";
import { ModelNetwork } from "./modelNetwork.js";
import { Observer } from "./observer.js";
import { MaintenanceSteps } from "./maintenanceSteps.js";
import { Violation, type PropertyName } from "./violation.js";

/** Settings of a world; printed with a trace for `--replay`. */
export interface WorldSettings {
  readonly machines: number;
  /** How many machines found the store, counted from the first; the others start with a blank disk. */
  readonly voters: number;
  /** Writes are synced in the step that requests them, except on machines whose syncs are withheld (`hold`). */
  readonly syncsAtOnce: boolean;
  /** Leaders maintain the membership themselves, as in production; otherwise actions change it. */
  readonly isTended?: boolean;
  /** Properties whose violations are ignored because they are known, so that a run can find others. */
  readonly ignored?: readonly PropertyName[];
}

/**
 * The members of one replicated log and everything that can happen to them, one action at a time. After each action
 * all promises settle and then all properties are checked.
 * Invariant: the same settings and actions give the same states.
 */
export class ModelWorld {
  readonly settings: WorldSettings;
  readonly coverage: Coverage;
  readonly machines: ModelMachine[];
  readonly network: ModelNetwork;
  readonly observer: Observer;
  readonly clients: ModelClients;
  readonly steps: MemberSteps;
  readonly maintenanceSteps: MaintenanceSteps;
  /** Machines whose writes are not synced at once although `syncsAtOnce` is set. */
  readonly #syncsWithheld = new Set<ModelMachine>();
  /** All actions performed so far. */
  readonly performed: Action[] = [];

  private constructor(settings: WorldSettings, coverage: Coverage) {
    this.settings = settings;
    this.coverage = coverage;
    this.machines = Array.from({ length: settings.machines }, (_, i) => new ModelMachine(i));
    this.observer = new Observer(this.machines, coverage, settings.ignored);
    this.clients = new ModelClients(this.observer, coverage);
    this.steps = new MemberSteps(this.machines, this.observer, coverage, settings.voters);
    this.maintenanceSteps = new MaintenanceSteps(this.machines, settings.voters);
    this.network = new ModelNetwork((from, to, frame) => {
      const machine = this.machines.find((sender) => sender.name === from)!;
      this.observer.checkSent(machine, to, frame);
    });
  }

  /** A world whose founding machines have the first membership on disk and whose processes have all started. */
  static async start(settings: WorldSettings, coverage = new Coverage()): Promise<ModelWorld> {
    const world = new ModelWorld(settings, coverage);
    const founders = world.machines.slice(0, settings.voters);
    const voters = founders.map(({ diskId: id, name }) => ({ id, name }) as StoreMember);
    const data = toBinary(MembersSchema, create(MembersSchema, { voters }));
    for (const { disk } of founders) {
      const log = new ReplicaLog(
        disk.mount(() => true),
        "store",
      );
      void log.append([create(EntrySchema, { index: 1, term: 1, kind: entryKind.members, data })]);
      disk.sync();
    }
    for (const machine of world.machines) world.#boot(machine);
    await world.#runUntilIdle();
    return world;
  }

  /** A world in which these actions were performed; actions that are not possible are skipped. */
  static async replay(
    settings: WorldSettings,
    actions: readonly Action[],
    coverage = new Coverage(),
  ): Promise<ModelWorld> {
    const world = await ModelWorld.start(settings, coverage);
    for (const action of actions) await world.perform(action);
    return world;
  }

  /** Whether an action is possible in this state. */
  isEnabled({ kind, member: at, other, nth }: Action): boolean {
    const machine = this.machines[at];
    const second = this.machines[other];
    if (machine === undefined || second === undefined) return false;
    const { member } = machine;
    const isRunning = member?.isRunning === true;
    switch (kind) {
      case "deliver":
        return nth < this.network.frameCount(machine.name, second.name) && second.member?.isFrozen !== true;
      case "drop":
      case "duplicate":
        return nth < this.network.frameCount(machine.name, second.name);
      case "tick":
      case "freeze":
      case "stop":
        return isRunning;
      case "standBy":
        return isRunning && this.observer.isRemoved(machine.diskId);
      case "sync":
        return isRunning && machine.disk.pendingCount > 0;
      case "hold":
        return this.settings.syncsAtOnce && isRunning && !this.#syncsWithheld.has(machine);
      case "crash":
        return member?.isUp === true && nth <= machine.disk.pendingCount;
      case "restart":
        return member?.isUp !== true;
      case "loseDisk":
        return this.steps.mayLoseDisk(machine);
      case "thaw":
        return member?.isFrozen === true;
      case "cut":
        return machine !== second && !this.network.isCut(machine.name, second.name);
      case "mend":
        return this.network.isCut(machine.name, second.name);
      case "propose":
      case "order":
      case "read":
        return isRunning && member.raft.isLeader;
      case "call":
        return isRunning && machine !== second;
      default:
        return isRunning && this.#memberSteps.isEnabled(kind, member, second);
    }
  }

  /**
   * Performs an action and checks all properties; false if the action is not possible.
   * @throws Violation if a property does not hold afterwards.
   */
  async perform(action: Action): Promise<boolean> {
    if (!this.isEnabled(action)) return false;
    this.performed.push(action);
    this.coverage.count(`action: ${action.kind}`);
    this.observer.captureFault(() => this.#execute(action));
    await this.#runUntilIdle();
    this.observer.captureFault(() => this.clients.check());
    this.observer.check();
    return true;
  }

  /** Digest of the whole state: worlds with the same digest behave alike from here on. */
  hash(): string {
    const machines = this.machines.map(
      ({ history, disk, member, diskId }) =>
        `${history},${disk.pendingCount},${member?.isUp},${member?.isFrozen},${diskId},${disk.text()}`,
    );
    const held = this.machines.map((machine) => this.#syncsWithheld.has(machine)).join();
    const text = [machines.join("\n"), held, this.network.text(), this.observer.text(), this.clients.text()];
    return createHash("sha1")
      .update(`${text.join("\n")}\n${this.steps.text()}`)
      .digest("base64");
  }

  #execute({ kind, member: at, other, nth }: Action): void {
    const machine = this.machines[at]!;
    const second = this.machines[other]!;
    const member = machine.member!;
    switch (kind) {
      case "deliver":
        return this.#deliver(machine, second, nth);
      case "drop":
        return void this.network.take(machine.name, second.name, nth);
      case "duplicate":
        return this.network.duplicate(machine.name, second.name, nth);
      case "tick":
        this.#extendHistory(machine, "tick");
        return member.clock.tick();
      case "sync":
        this.#syncsWithheld.delete(machine);
        this.#extendHistory(machine, `sync ${nth}`);
        return machine.disk.sync(nth === 0 ? Infinity : nth);
      case "hold":
        return void this.#syncsWithheld.add(machine);
      case "crash":
        return this.#crash(machine, nth);
      case "stop":
        member.raft.resign();
        return this.#crash(machine, Infinity);
      case "standBy":
        this.#extendHistory(machine, kind);
        return member.raft.standBy();
      case "restart":
        return this.#boot(machine);
      case "loseDisk":
        this.#crash(machine, 0);
        return machine.replaceDisk();
      case "freeze":
        member.isFrozen = true;
        return undefined;
      case "thaw":
        member.isFrozen = false;
        this.#extendHistory(machine, "thaw");
        return member.clock.jump(modelBounds.frozenMs);
      case "cut":
        return this.network.cut(machine.name, second.name);
      case "mend":
        return this.network.mend(machine.name, second.name);
      case "propose":
        this.#extendHistory(machine, kind);
        return this.clients.propose(member, nth > 0);
      case "order":
        this.#extendHistory(machine, kind);
        return this.clients.order(member);
      case "read":
        this.#extendHistory(machine, kind);
        return this.clients.read(member);
      case "call":
        this.#extendHistory(machine, `call ${other}`);
        return this.clients.call(member, second.name);
      default:
        this.#extendHistory(machine, `${kind} ${second.diskId}`);
        return this.#memberSteps.perform(kind, member, second);
    }
  }

  get #memberSteps(): MemberSteps | MaintenanceSteps {
    return this.settings.isTended === true ? this.maintenanceSteps : this.steps;
  }

  get #maintenance(): { voters: number } | undefined {
    return this.settings.isTended === true ? this.settings : undefined;
  }

  #deliver(from: ModelMachine, to: ModelMachine, nth: number): void {
    const bytes = this.network.take(from.name, to.name, nth);
    if (to.member?.isUp !== true) return;
    this.#extendHistory(to, Buffer.from(bytes).toString("latin1"));
    const frame = this.network.deliver(to.name, bytes);
    if (frame !== undefined) this.observer.recordDelivered(to, frame);
  }

  #crash(machine: ModelMachine, kept: number): void {
    if (machine.member !== undefined) machine.member.isUp = machine.member.isFrozen = false;
    this.#syncsWithheld.delete(machine);
    this.network.detach(machine.name);
    machine.disk.losePower(kept);
    machine.history = "";
  }

  #boot(machine: ModelMachine): void {
    machine.incarnations += 1;
    this.#extendHistory(machine, `start ${machine.incarnations} from ${machine.diskId} ${machine.disk.text()}`);
    try {
      const member = new ModelMember(machine, this.network, machine.incarnations, this.#maintenance);
      machine.member = member;
      this.clients.serve(member);
      this.observer.watch(member);
    } catch (cause) {
      throw new Violation("no fault thrown", (cause as Error).message);
    }
  }

  #extendHistory(machine: ModelMachine, what: string): void {
    machine.history = createHash("sha1").update(machine.history).update(what).digest("base64");
  }

  /** Lets all promises settle and fires all due timers until nothing is left to do; syncs writes if `syncsAtOnce`. */
  async #runUntilIdle(): Promise<void> {
    for (let isIdle = false; !isIdle;) {
      await new Promise<void>((resolve) => void setImmediate(resolve));
      isIdle = true;
      for (const machine of this.machines) {
        const { member } = machine;
        if (member?.isRunning !== true) continue;
        this.observer.captureFault(() => {
          if (member.clock.fireExpired()) isIdle = false;
        });
        if (!this.settings.syncsAtOnce || this.#syncsWithheld.has(machine) || machine.disk.pendingCount === 0) continue;
        machine.disk.sync();
        isIdle = false;
      }
    }
  }
}
