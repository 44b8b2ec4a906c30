import { FaultInjector, type InjectFault } from "./acts.js";

/** Cuts between machines that count, between those and edges, and connections that are reset. */
export class PartitionInjector extends FaultInjector {
  /** Longer than any lease, any suspicion and any feed. */
  static readonly longMs = 20_000;

  readonly coreCut: InjectFault = (_name, ms) => this.#cut("both", ms);

  readonly coreCutOneWay: InjectFault = (_name, ms) => this.#cut(this.random.pick(["in", "out"]), ms);

  readonly coreCutLong: InjectFault = () => this.#cut("both", PartitionInjector.longMs);

  /** Seeds begin with those that are cut off, and some other machines are started anew. */
  readonly coreCutSeeds: InjectFault = (_name, ms) => {
    const span = this.#cut("both", ms, (off) => {
      const others = this.fleet.names.filter((one) => this.fleet.isUsed(one) && !off.includes(one));
      this.fleet.seed([...off, ...this.some(others, 3)].slice(0, 3));
      this.later(ms * 0.2, () => this.#again(this.some(others, 2)));
    });
    return span;
  };

  /** Those that are cut off are started anew, and then the others that count. */
  readonly coreCutBoth: InjectFault = (_name, ms) =>
    this.#cut("both", ms, (off) => {
      this.later(ms * 0.2, () => this.#again(off));
      this.later(ms * 0.5, () => this.#again(this.counted.filter((one) => !off.includes(one))));
    });

  /** Nobody waits in vain: each try to reach the others that count is refused at once. */
  readonly coreCutRefused: InjectFault = (_name, ms) => {
    const { counted, fleet } = this;
    const off = this.#oneOff();
    for (const other of counted) if (other !== off) fleet.wires.refuse(fleet.addressOf(off), fleet.addressOf(other));
    return this.later(ms, () => fleet.wires.heal());
  };

  /** Edges are cut off from all that count. */
  readonly edgeCut: InjectFault = (_name, ms) => {
    for (const one of this.some(this.edges, Math.ceil(this.edges.length * 0.3)))
      this.fleet.isolate(one, this.counted, "both");
    return this.later(ms, () => this.fleet.wires.heal());
  };

  /** Half of a machine's connections are reset, with what is on its way. */
  readonly resets: InjectFault = (name) => {
    for (const other of this.fleet.names)
      if (other !== name && this.random.draw() < 0.5)
        this.fleet.wires.reset(this.fleet.addressOf(name), this.fleet.addressOf(other));
    return 0;
  };

  /** All connections between machines that count are reset, again and again. */
  readonly coreResets: InjectFault = () => {
    const { counted, fleet } = this;
    for (let i = 0; i < 4; i += 1)
      this.later(i * 300, () => {
        for (const [j, one] of counted.entries())
          for (const other of counted.slice(j + 1)) fleet.wires.reset(fleet.addressOf(one), fleet.addressOf(other));
      });
    return 1200;
  };

  /** As many as may be lost, often the leader, from the others that count; edges still reach both sides. */
  #cut(ways: "in" | "out" | "both", ms: number, more: (off: string[]) => void = () => undefined): number {
    const { counted, fleet } = this;
    const off = [this.#oneOff()];
    for (const name of off)
      fleet.isolate(
        name,
        counted.filter((other) => !off.includes(other)),
        ways,
      );
    more(off);
    return this.later(ms, () => fleet.wires.heal());
  }

  /** Often the leader. */
  #oneOff(): string {
    const leader = this.random.draw() < 0.5 ? this.fleet.leader : undefined;
    return leader ?? this.random.pick(this.counted);
  }

  #again(names: readonly string[]): void {
    for (const one of names) {
      this.fleet.crash(one);
      this.later(300, () => this.fleet.revive(one));
    }
  }
}
