import {
  Configurations,
  type TopicContract,
  type Configuration,
} from "@cranetrack/core/configuration/configuration.js";
import { ConfigurationSchema } from "@cranetrack/core/configuration/configurationSchema.js";
import { Streams } from "@cranetrack/core/configuration/streams.js";
import type { Seen } from "./history.js";

interface Put {
  at: number;
  configuration: Configuration;
  text: string;
}

/** The configurations that operators sent, and which of them may have been in force when, as far as they could see. */
export class ConfigurationHistory {
  /** So long a configuration may take until it is in effect everywhere. */
  static readonly takeUpMs = 3000;
  /** A reply is on its way for so long at the most, after what it tells of. */
  static readonly acknowledgementMs = 1000;

  readonly #accepted: Put[] = [];
  readonly #tried = new Map<string, Put>();
  readonly #refused = new Set<string>();

  constructor(seen: readonly Seen[]) {
    for (const one of seen) {
      if (one.kind === "planTried" && !this.#tried.has(one.text))
        this.#tried.set(one.text, ConfigurationHistory.#put(one));
      else if (one.kind === "planAccepted") this.#accepted.push(ConfigurationHistory.#put(one));
      else if (one.kind === "planRefused") this.#refused.add(one.text);
    }
  }

  get newest(): Put | undefined {
    return this.#accepted.reduce<Put | undefined>(
      (best, put) => (best === undefined || put.configuration.version > best.configuration.version ? put : best),
      undefined,
    );
  }

  /** A put that got no final reply may have been accepted all the same. */
  mayHaveBeenAccepted(text: string): boolean {
    const put = this.#tried.get(text);
    return (
      put !== undefined &&
      !this.#refused.has(text) &&
      put.configuration.version > (this.newest?.configuration.version ?? 0)
    );
  }

  /**
   * All configurations that somebody may have acted on between two moments: the one accepted for long enough before,
   * and
   * every one that was sent since. Undefined where none was in force for sure.
   */
  between(from: number, to: number): Configuration[] | undefined {
    const lastResolved = this.#accepted
      .filter((put) => put.at <= from - ConfigurationHistory.takeUpMs)
      .reduce<Put | undefined>(
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

  /** What every configuration that may have been in force then owed the topic; undefined where none was for sure. */
  contractsBetween(topic: string, from: number, to: number): Array<TopicContract | undefined> | undefined {
    return this.between(from, to)?.map((configuration) =>
      ConfigurationHistory.#limited(configuration, Configurations.contractFor(configuration, topic)),
    );
  }

  /** Whether some configuration sent in that time did not have the topic. */
  wasGone(topic: string, from: number, to: number): boolean {
    return [...this.#tried.values(), ...this.#accepted].some(
      ({ at, configuration }) =>
        at >= from - ConfigurationHistory.takeUpMs &&
        at <= to &&
        Configurations.contractFor(configuration, topic) === undefined,
    );
  }

  /**
   * The stream of one order for all that every configuration of the run which has the topic puts it in; else undefined.
   */
  oneOrderOf(topic: string): string | undefined {
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

  /** The configuration's limit of a payload holds whatever a contract allows. */
  static #limited({ limits }: Configuration, contract: TopicContract | undefined): TopicContract | undefined {
    const most = limits?.payloadBytes;
    return contract === undefined || most === undefined
      ? contract
      : { ...contract, maxBytes: Math.min(contract.maxBytes ?? 65_536, most) };
  }

  static #put({ at, text }: { at: number; text: string }): Put {
    const read = ConfigurationSchema.read(JSON.parse(text));
    return { at, text, configuration: "configuration" in read ? read.configuration : { version: 0, spaces: [] } };
  }
}
