import { Plans, type Owe, type Plan } from "@cranetrack/core/configuration/configuration.js";
import { PlanSchema } from "@cranetrack/core/configuration/configurationSchema.js";
import { Streams } from "@cranetrack/core/configuration/streams.js";
import type { Seen } from "./history.js";

interface Put {
  at: number;
  plan: Plan;
  text: string;
}

/** The plans that operators sent, and which of them may have been in force when, as far as they could see. */
export class PlanHistory {
  /** So long a plan may take until it is in effect everywhere. */
  static readonly takeUpMs = 3000;
  /** A receipt is on its way for so long at the most, after what it tells of. */
  static readonly acknowledgementMs = 1000;

  readonly #accepted: Put[] = [];
  readonly #tried = new Map<string, Put>();
  readonly #refused = new Set<string>();

  constructor(seen: readonly Seen[]) {
    for (const one of seen) {
      if (one.kind === "planTried" && !this.#tried.has(one.text)) this.#tried.set(one.text, PlanHistory.#put(one));
      else if (one.kind === "planAccepted") this.#accepted.push(PlanHistory.#put(one));
      else if (one.kind === "planRefused") this.#refused.add(one.text);
    }
  }

  get newest(): Put | undefined {
    return this.#accepted.reduce<Put | undefined>(
      (best, put) => (best === undefined || put.plan.mark > best.plan.mark ? put : best),
      undefined,
    );
  }

  /** A put that got no final receipt may have been accepted all the same. */
  mayHaveBeenAccepted(text: string): boolean {
    const put = this.#tried.get(text);
    return put !== undefined && !this.#refused.has(text) && put.plan.mark > (this.newest?.plan.mark ?? 0);
  }

  /**
   * All plans that somebody may have acted on between two moments: the one accepted for long enough before, and
   * every one that was sent since. Undefined where none was in force for sure.
   */
  between(from: number, to: number): Plan[] | undefined {
    const settled = this.#accepted
      .filter((put) => put.at <= from - PlanHistory.takeUpMs)
      .reduce<Put | undefined>((a, b) => (a === undefined || b.plan.mark > a.plan.mark ? b : a), undefined);
    if (settled === undefined) return undefined;
    const later = [...this.#tried.values(), ...this.#accepted].filter(
      ({ plan, at }) => plan.mark > settled.plan.mark && at <= to + PlanHistory.acknowledgementMs,
    );
    return [settled.plan, ...later.map((put) => put.plan)];
  }

  /** What every plan that may have been in force then owed the topic; undefined where none was for sure. */
  owedBetween(topic: string, from: number, to: number): Array<Owe | undefined> | undefined {
    return this.between(from, to)?.map((plan) => PlanHistory.#limited(plan, Plans.owed(plan, topic)));
  }

  /** Whether some plan sent in that time did not have the topic. */
  wasGone(topic: string, from: number, to: number): boolean {
    return [...this.#tried.values(), ...this.#accepted].some(
      ({ at, plan }) => at >= from - PlanHistory.takeUpMs && at <= to && Plans.owed(plan, topic) === undefined,
    );
  }

  /** The stream of one order for all that every plan of the run which has the topic puts it in; else undefined. */
  oneOrderOf(topic: string): string | undefined {
    const streams = new Set(
      [...this.#tried.values(), ...this.#accepted].flatMap(({ plan }) => {
        const space = Plans.spaceOf(plan, topic);
        if (space === undefined) return [];
        const prefix = Plans.prefixOf(space);
        const order = Plans.owed(plan, topic)?.order ?? Plans.orderOf(plan, prefix)!;
        return [order === "sender" ? undefined : Streams.of(prefix, topic, order)];
      }),
    );
    return streams.size === 1 ? [...streams][0] : undefined;
  }

  /** The plan's limit of a payload holds whatever a contract allows. */
  static #limited({ limits }: Plan, owe: Owe | undefined): Owe | undefined {
    const most = limits?.payloadBytes;
    return owe === undefined || most === undefined ? owe : { ...owe, maxBytes: Math.min(owe.maxBytes ?? 65_536, most) };
  }

  static #put({ at, text }: { at: number; text: string }): Put {
    const read = PlanSchema.read(JSON.parse(text));
    return { at, text, plan: "plan" in read ? read.plan : { mark: 0, spaces: [] } };
  }
}
