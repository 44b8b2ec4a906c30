import {
  Configurations,
  type TopicContract,
  type Configuration,
} from "@cranetrack/core/configuration/configuration.js";
import { ConfigurationSchema } from "@cranetrack/core/configuration/configurationSchema.js";
import { Streams } from "@cranetrack/core/configuration/streams.js";
import type { HistoryEvent } from "./history.js";

/** A configuration as an operator sent it: its text, the parsed form, and the time of the event. */
interface SentConfiguration {
  at: number;
  configuration: Configuration;
  text: string;
}

/** The configurations that operators sent, and which of them may have been in force at which time. */
export class ConfigurationHistory {
  /** Longest time after its acceptance until a configuration is in effect at all nodes. */
  static readonly takeEffectMs = 3000;
  /** Longest time that a reply takes to arrive after the event it reports. */
  static readonly acknowledgementMs = 1000;

  readonly #accepted: SentConfiguration[] = [];
  readonly #tried = new Map<string, SentConfiguration>();
  readonly #refused = new Set<string>();

  constructor(seen: readonly HistoryEvent[]) {
    for (const event of seen) {
      if (event.kind === "planTried" && !this.#tried.has(event.text))
        this.#tried.set(event.text, ConfigurationHistory.#parse(event));
      else if (event.kind === "planAccepted") this.#accepted.push(ConfigurationHistory.#parse(event));
      else if (event.kind === "planRefused") this.#refused.add(event.text);
    }
  }

  /** The accepted configuration with the highest version. */
  get newest(): SentConfiguration | undefined {
    return this.#accepted.reduce<SentConfiguration | undefined>(
      (best, put) => (best === undefined || put.configuration.version > best.configuration.version ? put : best),
      undefined,
    );
  }

  /** A configuration whose put got no definite reply may have been accepted nevertheless. */
  mayHaveBeenAccepted(text: string): boolean {
    const put = this.#tried.get(text);
    return (
      put !== undefined &&
      !this.#refused.has(text) &&
      put.configuration.version > (this.newest?.configuration.version ?? 0)
    );
  }

  /**
   * All configurations that a node may have applied between two moments: the newest one that was in effect everywhere
   * at the first moment, and every later version sent up to the second. Undefined if no configuration was certainly in
   * effect.
   */
  possibleConfigurations(from: number, to: number): Configuration[] | undefined {
    const lastResolved = this.#accepted
      .filter((put) => put.at <= from - ConfigurationHistory.takeEffectMs)
      .reduce<SentConfiguration | undefined>(
        (a, b) => (a === undefined || b.configuration.version > a.configuration.version ? b : a),
        undefined,
      );
    if (lastResolved === undefined) return undefined;
    const later = [...this.#tried.values(), ...this.#accepted].filter(
      ({ configuration, at }) =>
        configuration.version > lastResolved.configuration.version && at <= to + ConfigurationHistory.acknowledgementMs,
    );
    return [lastResolved.configuration, ...later.map((put) => put.configuration)];
  }

  /**
   * The topic's contract in each configuration that may have been in force between two moments (undefined where it has
   * no such topic); undefined as a whole if no configuration was certainly in effect.
   */
  possibleContracts(topic: string, from: number, to: number): Array<TopicContract | undefined> | undefined {
    return this.possibleConfigurations(from, to)?.map((configuration) =>
      ConfigurationHistory.#withPayloadLimit(configuration, Configurations.contractFor(configuration, topic)),
    );
  }

  /** Whether a configuration without the topic may have been in force between two moments. */
  mayHaveBeenRemoved(topic: string, from: number, to: number): boolean {
    return [...this.#tried.values(), ...this.#accepted].some(
      ({ at, configuration }) =>
        at >= from - ConfigurationHistory.takeEffectMs &&
        at <= to &&
        Configurations.contractFor(configuration, topic) === undefined,
    );
  }

  /**
   * The totally ordered stream of a topic, if all configurations of the run that have the topic put it into the same
   * one; else undefined.
   */
  totalOrderStream(topic: string): string | undefined {
    const streams = new Set(
      [...this.#tried.values(), ...this.#accepted].flatMap(({ configuration }) => {
        const space = Configurations.spaceOf(configuration, topic);
        if (space === undefined) return [];
        const prefix = Configurations.prefixOf(space);
        const order =
          Configurations.contractFor(configuration, topic)?.order ?? Configurations.orderOf(configuration, prefix)!;
        return [order === "sender" ? undefined : Streams.of(prefix, topic, order)];
      }),
    );
    return streams.size === 1 ? [...streams][0] : undefined;
  }

  /** The contract with the configuration's payload limit applied, which holds even if the contract allows more. */
  static #withPayloadLimit({ limits }: Configuration, contract: TopicContract | undefined): TopicContract | undefined {
    const payloadLimit = limits?.payloadBytes;
    return contract === undefined || payloadLimit === undefined
      ? contract
      : { ...contract, maxBytes: Math.min(contract.maxBytes ?? 65_536, payloadLimit) };
  }

  static #parse({ at, text }: { at: number; text: string }): SentConfiguration {
    const read = ConfigurationSchema.read(JSON.parse(text));
    return { at, text, configuration: "configuration" in read ? read.configuration : { version: 0, spaces: [] } };
  }
}
