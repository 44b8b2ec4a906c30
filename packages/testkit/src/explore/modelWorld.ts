import { createHash } from "node:crypto";
import { create, toBinary } from "@bufbuild/protobuf";
import { entryKind } from "@cranetrack/control/consensus/entryKind.js";
import { EntrySchema, MembersSchema, type StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import type { Action } from "./action.js";
import { ModelClients } from "./callers.js";
import { Coverage } from "./coverage.js";
import { MemberSteps } from "./memberSteps.js";
import { ModelMachine } from "./modelMachine.js";
import { ModelMember, modelBounds } from "./modelMember.js";
import { ModelNetwork } from "./modelNetwork.js";
import { Observer } from "./observer.js";
import { MaintenanceSteps } from "./tendedSteps.js";
import { Violation, type PropertyName } from "./violation.js";

export interface WorldSettings {
  readonly machines: number;
  /** The first so many machines found the store; the others are blank. */
  readonly voters: number;
  /** Writes are synced in the step that asks for them, except where a member's are held back. */
  readonly syncsAtOnce: boolean;
  /** Leaders decide themselves who is a member, as in production; else members change by actions. */
  readonly isTended?: boolean;
  /** Properties that are known not to hold, so that others can be looked for beside them. */
  readonly ignored?: readonly PropertyName[];
}

/**
 * Members of one replicated log, and everything that can happen to them, one action at a time. After each action all
 * promises settle, then all properties are checked.
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
  /** Whose writes are not synced at once. */
  readonly #held = new Set<ModelMachine>();
  /** All actions that were carried out. */
  readonly taken: Action[] = [];

  private constructor(settings: WorldSettings, coverage: Coverage) {
    this.settings = settings;
    this.coverage = coverage;
    this.machines = Array.from({ length: settings.machines }, (_, i) => new ModelMachine(i));
    this.observer = new Observer(this.machines, coverage, settings.ignored);
    this.clients = new ModelClients(this.observer, coverage);
    this.steps = new MemberSteps(this.machines, this.observer, coverage, settings.voters);
    this.maintenanceSteps = new MaintenanceSteps(this.machines, settings.voters);
    this.network = new ModelNetwork((from, to, frame) => {
      const machine = this.machines.find((one) => one.name === from)!;
      this.observer.sent(machine, to, frame);
    });
  }

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

  /** A world in which all these actions were taken; those that can't be are passed over. */
  static async replay(
    settings: WorldSettings,
    actions: readonly Action[],
    coverage = new Coverage(),
  ): Promise<ModelWorld> {
    const world = await ModelWorld.start(settings, coverage);
    for (const action of actions) await world.take(action);
    return world;
  }

  /** Whether an action means anything in this state. */
  isEnabled({ kind, member: at, other, nth }: Action): boolean {
    const machine = this.machines[at];
    const second = this.machines[other];
    if (machine === undefined || second === undefined) return false;
    const { member } = machine;
    const isRunning = member?.isRunning === true;
    switch (kind) {
      case "deliver":
        return nth < this.network.count(machine.name, second.name) && second.member?.isFrozen !== true;
      case "drop":
      case "duplicate":
        return nth < this.network.count(machine.name, second.name);
      case "tick":
      case "freeze":
      case "stop":
        return isRunning;
      case "standBy":
        return isRunning && this.observer.isOut(machine.diskId);
      case "sync":
        return isRunning && machine.disk.pending > 0;
      case "hold":
        return this.settings.syncsAtOnce && isRunning && !this.#held.has(machine);
      case "crash":
        return member?.isUp === true && nth <= machine.disk.pending;
      case "restart":
        return member?.isUp !== true;
      case "loseDisk":
        return this.steps.mayLose(machine);
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

  /** Carries an action out and checks all properties; false where it means nothing. */
  async take(action: Action): Promise<boolean> {
    if (!this.isEnabled(action)) return false;
    this.taken.push(action);
    this.coverage.count(`action: ${action.kind}`);
    this.observer.keep(() => this.#carryOut(action));
    await this.#runUntilIdle();
    this.observer.keep(() => this.clients.check());
    this.observer.check();
    return true;
  }

  /** Stands for the whole state: worlds with the same text go on alike. */
  hash(): string {
    const machines = this.machines.map(
      ({ history, disk, member, diskId }) =>
        `${history},${disk.pending},${member?.isUp},${member?.isFrozen},${diskId},${disk.text()}`,
    );
    const held = this.machines.map((machine) => this.#held.has(machine)).join();
    const text = [machines.join("\n"), held, this.network.text(), this.observer.text(), this.clients.text()];
    return createHash("sha1")
      .update(`${text.join("\n")}\n${this.steps.text()}`)
      .digest("base64");
  }

  #carryOut({ kind, member: at, other, nth }: Action): void {
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
        this.#remember(machine, "tick");
        return member.clock.tick();
      case "sync":
        this.#held.delete(machine);
        this.#remember(machine, `sync ${nth}`);
        return machine.disk.sync(nth === 0 ? Infinity : nth);
      case "hold":
        return void this.#held.add(machine);
      case "crash":
        return this.#crash(machine, nth);
      case "stop":
        member.raft.resign();
        return this.#crash(machine, Infinity);
      case "standBy":
        this.#remember(machine, kind);
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
        this.#remember(machine, "thaw");
        return member.clock.jump(modelBounds.frozenMs);
      case "cut":
        return this.network.cut(machine.name, second.name);
      case "mend":
        return this.network.mend(machine.name, second.name);
      case "propose":
        this.#remember(machine, kind);
        return this.clients.propose(member, nth > 0);
      case "order":
        this.#remember(machine, kind);
        return this.clients.order(member);
      case "read":
        this.#remember(machine, kind);
        return this.clients.read(member);
      case "call":
        this.#remember(machine, `call ${other}`);
        return this.clients.call(member, second.name);
      default:
        this.#remember(machine, `${kind} ${second.diskId}`);
        return this.#memberSteps.take(kind, member, second);
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
    this.#remember(to, Buffer.from(bytes).toString("latin1"));
    const frame = this.network.deliver(to.name, bytes);
    if (frame !== undefined) this.observer.delivered(to, frame);
  }

  #crash(machine: ModelMachine, kept: number): void {
    if (machine.member !== undefined) machine.member.isUp = machine.member.isFrozen = false;
    this.#held.delete(machine);
    this.network.detach(machine.name);
    machine.disk.fall(kept);
    machine.history = "";
  }

  #boot(machine: ModelMachine): void {
    machine.incarnations += 1;
    this.#remember(machine, `start ${machine.incarnations} from ${machine.diskId} ${machine.disk.text()}`);
    try {
      const member = new ModelMember(machine, this.network, machine.incarnations, this.#maintenance);
      machine.member = member;
      this.clients.serve(member);
      this.observer.watch(member);
    } catch (cause) {
      throw new Violation("no fault thrown", (cause as Error).message);
    }
  }

  #remember(machine: ModelMachine, what: string): void {
    machine.history = createHash("sha1").update(machine.history).update(what).digest("base64");
  }

  /** All promises settle, and what is to be done after no time is done; where writes sync at once, they do. */
  async #runUntilIdle(): Promise<void> {
    for (let isOver = false; !isOver;) {
      await new Promise<void>((resolve) => void setImmediate(resolve));
      isOver = true;
      for (const machine of this.machines) {
        const { member } = machine;
        if (member?.isRunning !== true) continue;
        this.observer.keep(() => {
          if (member.clock.fireExpired()) isOver = false;
        });
        if (!this.settings.syncsAtOnce || this.#held.has(machine) || machine.disk.pending === 0) continue;
        machine.disk.sync();
        isOver = false;
      }
    }
  }
}
