import { FaultInjector, type InjectFault } from "./acts.js";
import { SimLoad } from "./simLoad.js";
import { SimConfigurations } from "./simConfigurations.js";
import type { GivenAnswer } from "./simPort.js";

/** What befalls operators' orders, and machines just after they acknowledged something. */
export class ChangeFaultInjector extends FaultInjector {
  /** Between an acknowledgement and the loss of power that follows it. */
  static readonly rightAfterMs = 4;
  static readonly sentMs = [5, 400] as const;
  /** Within which a disk that is to be lost is lost. */
  static readonly lossMs = 2500;

  /** Most answers to operators are lost on their way; the same orders come again, to other machines. */
  readonly lostAnswers: InjectFault = (_name, ms) => {
    this.fleet.port.answerLoss = 0.7;
    for (let i = 0; i < 4; i += 1) this.later((i * ms) / 4, () => this.#change());
    return this.later(ms, () => void (this.fleet.port.answerLoss = 0));
  };

  /** A change every 100 ms. */
  readonly storm: InjectFault = (_name, ms) => {
    for (let at = 0; at < ms; at += 100) this.later(at, () => this.#change());
    return ms;
  };

  readonly bigConfiguration: InjectFault = () => {
    void this.load.proposeConfiguration(
      SimConfigurations.write(this.load.nextVersion, SimConfigurations.large(300), SimConfigurations.largeNames(300)),
    );
    return 0;
  };

  /** What acknowledges a change loses power right after it. */
  readonly ackKill: InjectFault = () => this.#afterAck((name) => this.#fall([name], (one) => this.fleet.kill(one)));

  /** The same, with the leader as well. */
  readonly ackKillTwo: InjectFault = () =>
    this.#afterAck((name) => this.#fall([name, this.fleet.leader ?? name], (one) => this.fleet.kill(one)));

  /** Its process ends, and the disk keeps what was written. */
  readonly ackCrash: InjectFault = () => this.#afterAck((name) => this.#fall([name], (one) => this.fleet.crash(one)));

  /** 5 to 400 ms after a change was sent, acknowledged or not. */
  readonly sentKill: InjectFault = () => {
    const names = [this.random.pick(this.counted), this.fleet.leader];
    this.#change();
    const ms = this.random.between(...ChangeFaultInjector.sentMs);
    this.later(ms, () =>
      this.#fall(
        names.filter((one) => one !== undefined),
        (one) => this.fleet.kill(one),
      ),
    );
    return ms + 2000;
  };

  /** What has just taken a client's message loses power. */
  readonly takenKill: InjectFault = () =>
    this.#after(ChangeFaultInjector.#isTaken, (name) => this.#fall([name], (one) => this.fleet.kill(one)));

  /** All machines that count lose power right after a client's message was taken. */
  readonly takenKillAll: InjectFault = () =>
    this.#after(ChangeFaultInjector.#isTaken, () => this.#fall(this.counted, (one) => this.fleet.kill(one)));

  /** A disk is lost right after a change was acknowledged. */
  readonly ackWipe: InjectFault = () => this.#wipeAfterAck([]);

  /** The same, and all others that count lose power. */
  readonly ackWipeAll: InjectFault = () => this.#wipeAfterAck(this.counted);

  /** A disk is lost 5 to 400 ms after a change was sent. */
  readonly sentWipe: InjectFault = () => {
    if (!this.fleet.reserveLoss(ChangeFaultInjector.lossMs)) return FaultInjector.notNow;
    const name = this.random.pick(this.counted);
    this.#change();
    const ms = this.random.between(...ChangeFaultInjector.sentMs);
    this.later(ms, () => {
      if (this.fleet.mayLose) this.#fall([name], (one) => this.fleet.wipe(one));
    });
    return ms + 2000;
  };

  /** A machine comes back and is sent a change at once, by two operators. */
  readonly meet: InjectFault = (name, ms) => {
    this.fleet.kill(name);
    return this.later(ms * 0.4, () => {
      this.fleet.revive(name);
      const version = this.load.nextVersion;
      void this.load.proposeConfiguration(SimLoad.configuration(version), name);
      void this.load.proposeConfiguration(
        SimConfigurations.write(version, SimConfigurations.changed(this.random)),
        name,
      );
    });
  };

  static #isOrder({ method, path, status }: GivenAnswer): boolean {
    return method === "PUT" && path === "/v1/plan" && status === 200;
  }

  static #isTaken({ method, path, status }: GivenAnswer): boolean {
    return method === "POST" && path.endsWith("/messages") && status === 200;
  }

  #change(): void {
    void this.load.proposeConfiguration(
      SimConfigurations.write(this.load.nextVersion, SimConfigurations.changed(this.random)),
    );
  }

  #wipeAfterAck(others: readonly string[]): number {
    if (!this.fleet.reserveLoss(ChangeFaultInjector.lossMs)) return FaultInjector.notNow;
    return this.#afterAck((acknowledging) => {
      if (!this.fleet.mayLose) return;
      const isCounted = this.counted.includes(acknowledging);
      const lost = isCounted && this.random.draw() < 0.5 ? acknowledging : this.random.pick(this.counted);
      for (const one of others) if (one !== lost) this.fleet.kill(one);
      this.#fall([lost, ...others], (one) => {
        if (one === lost) this.fleet.wipe(one);
      });
    });
  }

  #afterAck(strike: (name: string) => void): number {
    this.#change();
    return this.#after(ChangeFaultInjector.#isOrder, strike);
  }

  /** Once, at the next such answer within two seconds. */
  #after(isMeant: (answer: GivenAnswer) => boolean, strike: (name: string) => void): number {
    const { onAnswer } = this.fleet.port;
    const look = (answer: GivenAnswer): void => {
      if (!isMeant(answer) || !onAnswer.delete(look)) return;
      this.later(this.random.between(0, ChangeFaultInjector.rightAfterMs), () => strike(answer.name));
    };
    onAnswer.add(look);
    this.later(2000, () => void onAnswer.delete(look));
    return 4000;
  }

  #fall(names: readonly string[], end: (name: string) => void): void {
    for (const one of names) end(one);
    this.later(this.random.between(500, 2000), () => this.reviveAll(names));
  }
}
