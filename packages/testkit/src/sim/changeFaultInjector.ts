import { FaultInjector, type InjectFault } from "./faultInjector.js";
import { SimLoad } from "./simLoad.js";
import { SimConfigurations } from "./simConfigurations.js";
import type { NodeAnswer } from "./simPort.js";

/** Faults around operators' configuration changes, and of machines right after they acknowledged a request. */
export class ChangeFaultInjector extends FaultInjector {
  /** Longest delay between an answer and the fault that it triggers, in ms. */
  static readonly maxDelayAfterAnswerMs = 4;
  /** Bounds of the delay between sending a change and the fault, in ms. */
  static readonly delayAfterSendMs = [5, 400] as const;
  /** Share of the acknowledgements that is lost, and for how long before the leader changes, in ms. */
  static readonly acknowledgementLoss = 0.8;
  static readonly lossBeforeChangeMs = 60;
  /** How long one disk loss stays reserved, in ms: the disk is lost within that time. */
  static readonly lossReservationMs = 2500;

  /** Most answers to operators are lost in transit; operators send the same changes again, to other machines. */
  readonly lostAnswers: InjectFault = (_name, ms) => {
    this.fleet.port.answerLoss = 0.7;
    for (let i = 0; i < 4; i += 1) this.schedule((i * ms) / 4, () => this.#proposeChange());
    return this.schedule(ms, () => void (this.fleet.port.answerLoss = 0));
  };

  /** Acknowledgements are lost while a shard changes its leader in an orderly way. */
  readonly lostAcknowledgements: InjectFault = (_name, ms) =>
    this.#loseAcknowledgements(ms, (leader, shard) => {
      void this.fleet.find(leader)?.storage?.leadership?.release(shard, "a fault of the run");
    });

  /** Acknowledgements are lost and the process of a shard's leader is killed: the shard has none for a while. */
  readonly lostAcknowledgementsKill: InjectFault = (_name, ms) =>
    this.#loseAcknowledgements(ms, (leader) => {
      if (this.fleet.find(leader) === undefined) return;
      this.fleet.kill(leader);
      this.schedule(ms, () => this.fleet.revive(leader));
    });

  /** A change every 100 ms. */
  readonly storm: InjectFault = (_name, ms) => {
    for (let at = 0; at < ms; at += 100) this.schedule(at, () => this.#proposeChange());
    return ms;
  };

  readonly bigConfiguration: InjectFault = () => {
    void this.load.proposeConfiguration(
      SimConfigurations.write(this.load.nextVersion, SimConfigurations.large(300), SimConfigurations.largeNames(300)),
    );
    return 0;
  };

  /** The machine that acknowledges a change loses power right afterwards. */
  readonly ackKill: InjectFault = () =>
    this.#afterAck((name) => this.#endThenRevive([name], (machineName) => this.fleet.kill(machineName)));

  /** Like `ackKill`, and the leader loses power as well. */
  readonly ackKillTwo: InjectFault = () =>
    this.#afterAck((name) =>
      this.#endThenRevive([name, this.fleet.leader ?? name], (machineName) => this.fleet.kill(machineName)),
    );

  /** Like `ackKill`, but only the process ends, and its disk keeps all writes. */
  readonly ackCrash: InjectFault = () =>
    this.#afterAck((name) => this.#endThenRevive([name], (machineName) => this.fleet.crash(machineName)));

  /** Two machines, one of them the leader, lose power 5 to 400 ms after a change was sent, acknowledged or not. */
  readonly sentKill: InjectFault = () => {
    const names = [this.random.pick(this.durableMachines), this.fleet.leader];
    this.#proposeChange();
    const ms = this.random.between(...ChangeFaultInjector.delayAfterSendMs);
    this.schedule(ms, () =>
      this.#endThenRevive(
        names.filter((machineName) => machineName !== undefined),
        (machineName) => this.fleet.kill(machineName),
      ),
    );
    return ms + 2000;
  };

  /** The machine that has just accepted a client's message loses power. */
  readonly takenKill: InjectFault = () =>
    this.#afterNextAnswer(ChangeFaultInjector.#isAcceptedPublish, (name) =>
      this.#endThenRevive([name], (machineName) => this.fleet.kill(machineName)),
    );

  /** All control and storage machines lose power right after a client's message was accepted. */
  readonly takenKillAll: InjectFault = () =>
    this.#afterNextAnswer(ChangeFaultInjector.#isAcceptedPublish, () =>
      this.#endThenRevive(this.durableMachines, (machineName) => this.fleet.kill(machineName)),
    );

  /** A disk is lost right after a change was acknowledged. */
  readonly ackWipe: InjectFault = () => this.#wipeAfterAck([]);

  /** Like `ackWipe`, and all other control and storage machines lose power. */
  readonly ackWipeAll: InjectFault = () => this.#wipeAfterAck(this.durableMachines);

  /** A disk is lost 5 to 400 ms after a change was sent. */
  readonly sentWipe: InjectFault = () => {
    if (!this.fleet.reserveLoss(ChangeFaultInjector.lossReservationMs)) return FaultInjector.notApplicable;
    const name = this.random.pick(this.durableMachines);
    this.#proposeChange();
    const ms = this.random.between(...ChangeFaultInjector.delayAfterSendMs);
    this.schedule(ms, () => {
      if (this.fleet.mayLoseDisk) this.#endThenRevive([name], (machineName) => this.fleet.wipe(machineName));
    });
    return ms + 2000;
  };

  /** Two operators send different changes under one version to a machine that has just restarted. */
  readonly meet: InjectFault = (name, ms) => {
    this.fleet.kill(name);
    return this.schedule(ms * 0.4, () => {
      this.fleet.revive(name);
      const version = this.load.nextVersion;
      void this.load.proposeConfiguration(SimLoad.configuration(version), name);
      void this.load.proposeConfiguration(
        SimConfigurations.write(version, SimConfigurations.changed(this.random)),
        name,
      );
    });
  };

  static #isAcceptedConfiguration({ method, path, status }: NodeAnswer): boolean {
    return method === "PUT" && path === "/v1/plan" && status === 200;
  }

  static #isAcceptedPublish({ method, path, status }: NodeAnswer): boolean {
    return method === "POST" && path.endsWith("/messages") && status === 200;
  }

  /** Loses most acknowledgements until `changeLeader` is called for a random shard and its leader. */
  #loseAcknowledgements(ms: number, changeLeader: (leader: string, shard: number) => void): number {
    const observer = this.edges.map((name) => this.fleet.find(name)).find((one) => one !== undefined);
    const shards = observer?.node.shards.all().filter(([, { leader }]) => leader !== "") ?? [];
    if (shards.length === 0) return FaultInjector.notApplicable;
    const [shard, { leader }] = this.random.pick(shards);
    const { port } = this.fleet;
    port.acknowledgementLoss = ChangeFaultInjector.acknowledgementLoss;
    this.schedule(ChangeFaultInjector.lossBeforeChangeMs, () => {
      port.acknowledgementLoss = 0;
      changeLeader(leader, shard);
    });
    return ms;
  }

  #proposeChange(): void {
    void this.load.proposeConfiguration(
      SimConfigurations.write(this.load.nextVersion, SimConfigurations.changed(this.random)),
    );
  }

  #wipeAfterAck(others: readonly string[]): number {
    if (!this.fleet.reserveLoss(ChangeFaultInjector.lossReservationMs)) return FaultInjector.notApplicable;
    return this.#afterAck((acknowledging) => {
      if (!this.fleet.mayLoseDisk) return;
      const isCounted = this.durableMachines.includes(acknowledging);
      const lost = isCounted && this.random.draw() < 0.5 ? acknowledging : this.random.pick(this.durableMachines);
      for (const machineName of others) if (machineName !== lost) this.fleet.kill(machineName);
      this.#endThenRevive([lost, ...others], (machineName) => {
        if (machineName === lost) this.fleet.wipe(machineName);
      });
    });
  }

  #afterAck(injectFault: (name: string) => void): number {
    this.#proposeChange();
    return this.#afterNextAnswer(ChangeFaultInjector.#isAcceptedConfiguration, injectFault);
  }

  /** Injects the fault once, after the next matching answer within two seconds. */
  #afterNextAnswer(matches: (answer: NodeAnswer) => boolean, injectFault: (name: string) => void): number {
    const { onAnswer } = this.fleet.port;
    const listener = (answer: NodeAnswer): void => {
      if (!matches(answer) || !onAnswer.delete(listener)) return;
      this.schedule(this.random.between(0, ChangeFaultInjector.maxDelayAfterAnswerMs), () => injectFault(answer.name));
    };
    onAnswer.add(listener);
    this.schedule(2000, () => void onAnswer.delete(listener));
    return 4000;
  }

  #endThenRevive(names: readonly string[], endMachine: (name: string) => void): void {
    for (const machineName of names) endMachine(machineName);
    this.schedule(this.random.between(500, 2000), () => this.reviveAll(names));
  }
}
