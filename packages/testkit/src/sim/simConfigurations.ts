import type { SimRandom } from "./simRandom.js";

type Rule = { when: object; contract: Record<string, unknown> };
export type SimSpaces = Record<string, Rule[]>;

const spaceNames: readonly string[] = ["notes", "notices", "extra", "passing", "live"];

/**
 * Configurations that simulated operators propose: three spaces that retain messages and two that do not, one of these
 * with one order for all, and variants of them.
 */
export const SimConfigurations = {
  allSpaceNames: spaceNames,
  topics: { notes: 6, notices: 3, extra: 2, passing: 2, live: 2 } as Record<string, number>,

  /** The configuration with which all clients are served. */
  usual(): SimSpaces {
    return {
      notes: [{ when: {}, contract: { keep: 120, order: "sender", fault_budget: { machines: 1 } } }],
      notices: [
        {
          when: {},
          contract: { keep: 300, order: "one", fault_budget: { machines: 1, zones: 1 }, publishers: ["sender-*"] },
        },
      ],
      extra: [{ when: {}, contract: { keep: 60, order: "one", fault_budget: {} } }],
      passing: [{ when: {}, contract: { keep: 0, order: "sender", fault_budget: {} } }],
      live: [{ when: {}, contract: { keep: 0, order: "topic", fault_budget: {} } }],
    };
  },

  /** The usual spaces with up to three contracts changed. */
  changed(random: SimRandom): SimSpaces {
    const spaces = SimConfigurations.usual();
    if (random.draw() < 0.4)
      spaces["notes"]!.unshift({ when: { topic: "t1" }, contract: { ...spaces["notes"]![0]!.contract, maxBytes: 8 } });
    if (random.draw() < 0.4) spaces["notices"]![0]!.contract["publishers"] = ["sender-1"];
    if (random.draw() < 0.4) spaces["extra"]![0]!.contract["keep"] = random.pick([46, 90, 200]);
    return spaces;
  },

  largeNames(count: number): string[] {
    return [...spaceNames, ...Array.from({ length: count }, (_, i) => `more-${i}`)];
  },

  /** The usual spaces and `count` more that no client uses. */
  large(count: number): SimSpaces {
    const contract = { keep: 60, order: "sender", fault_budget: {} };
    const more = Array.from({ length: count }, (_, i) => [`more-${i}`, [{ when: {}, contract }]] as const);
    return { ...SimConfigurations.usual(), ...Object.fromEntries(more.map(([name, rules]) => [name, [...rules]])) };
  },

  /** The named spaces, in the form of a configuration document. */
  write(
    version: number,
    spaces: SimSpaces,
    names: readonly string[] = spaceNames,
  ): { version: number; spaces: object[] } {
    const kept = names.flatMap((name) => (spaces[name] === undefined ? [] : [{ name, program: spaces[name] }]));
    return { version, spaces: kept };
  },
};
