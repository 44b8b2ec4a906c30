import { FaultInjector, type InjectFault } from "./faultInjector.js";

/** Partitions among control and storage machines, partitions between them and edges, and connection resets. */
export class PartitionInjector extends FaultInjector {
  /** Longer than any lease, any failure detection timeout and any feed timeout. */
  static readonly longCutMs = 20_000;

  readonly coreCut: InjectFault = (_name, ms) => this.#cut("both", ms);

  readonly coreCutOneWay: InjectFault = (_name, ms) => this.#cut(this.random.pick(["in", "out"]), ms);

  readonly coreCutLong: InjectFault = () => this.#cut("both", PartitionInjector.longCutMs);

  /** The settings list the isolated machine as the first seed, and some other machines restart. */
  readonly coreCutSeeds: InjectFault = (_name, ms) => {
    const span = this.#cut("both", ms, (off) => {
      const others = this.fleet.names.filter(
        (machineName) => this.fleet.isUsed(machineName) && !off.includes(machineName),
      );
      this.fleet.setSeeds([...off, ...this.pickSome(others, 3)].slice(0, 3));
      this.schedule(ms * 0.2, () => this.#restart(this.pickSome(others, 2)));
    });
    return span;
  };

  /** The isolated machine restarts, and later the other control and storage machines do. */
  readonly coreCutBoth: InjectFault = (_name, ms) =>
    this.#cut("both", ms, (off) => {
      this.schedule(ms * 0.2, () => this.#restart(off));
      this.schedule(ms * 0.5, () =>
        this.#restart(this.durableMachines.filter((machineName) => !off.includes(machineName))),
      );
    });

  /** Connections between one machine and the other control and storage machines are refused at once; no timeout. */
  readonly coreCutRefused: InjectFault = (_name, ms) => {
    const { durableMachines: counted, fleet } = this;
    const isolated = this.#pickIsolated();
    for (const other of counted)
      if (other !== isolated) fleet.wires.refuse(fleet.addressOf(isolated), fleet.addressOf(other));
    return this.schedule(ms, () => fleet.wires.heal());
  };

  /** Some edges are cut off from all control and storage machines. */
  readonly edgeCut: InjectFault = (_name, ms) => {
    for (const machineName of this.pickSome(this.edges, Math.ceil(this.edges.length * 0.3)))
      this.fleet.isolate(machineName, this.durableMachines, "both");
    return this.schedule(ms, () => this.fleet.wires.heal());
  };

  /** About half of a machine's connections are reset; frames in transit are lost. */
  readonly resets: InjectFault = (name) => {
    for (const other of this.fleet.names)
      if (other !== name && this.random.draw() < 0.5)
        this.fleet.wires.reset(this.fleet.addressOf(name), this.fleet.addressOf(other));
    return 0;
  };

  /** All connections among control and storage machines are reset, four times. */
  readonly coreResets: InjectFault = () => {
    const { durableMachines: counted, fleet } = this;
    for (let i = 0; i < 4; i += 1)
      this.schedule(i * 300, () => {
        for (const [j, machineName] of counted.entries())
          for (const other of counted.slice(j + 1))
            fleet.wires.reset(fleet.addressOf(machineName), fleet.addressOf(other));
      });
    return 1200;
  };

  /** Isolates one machine, often the leader, from the other control and storage machines; edges reach both sides. */
  #cut(ways: "in" | "out" | "both", ms: number, onCut: (off: string[]) => void = () => undefined): number {
    const { durableMachines: counted, fleet } = this;
    const isolated = [this.#pickIsolated()];
    for (const name of isolated)
      fleet.isolate(
        name,
        counted.filter((other) => !isolated.includes(other)),
        ways,
      );
    onCut(isolated);
    return this.schedule(ms, () => fleet.wires.heal());
  }

  /** In half of the cases the leader, otherwise any control or storage machine. */
  #pickIsolated(): string {
    const leader = this.random.draw() < 0.5 ? this.fleet.leader : undefined;
    return leader ?? this.random.pick(this.durableMachines);
  }

  #restart(names: readonly string[]): void {
    for (const machineName of names) {
      this.fleet.crash(machineName);
      this.schedule(300, () => this.fleet.revive(machineName));
    }
  }
}
