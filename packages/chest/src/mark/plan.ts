import { type } from "arktype";

const owe = type({
  "+": "reject",
  keep: "0 <= number <= 86400",
  order: "'sender' | 'one'",
  fault_budget: type({ "+": "reject", "machines?": "0 <= number.integer <= 2", "zones?": "0 <= number.integer <= 1" }),
  "publishers?": "string[] <= 1000",
  "maxBytes?": "1 <= number.integer <= 262144",
});

const when = type({
  "+": "reject",
  "topic?": "1 <= string <= 200",
  "topicPrefix?": "1 <= string <= 200",
});

const planType = type({
  "+": "reject",
  mark: "1 <= number.integer <= 9007199254740991",
  spaces: type({
    "+": "reject",
    name: "/^[a-z0-9][a-z0-9-]{0,62}$/",
    program: type({ "+": "reject", when, owe }).array().moreThanLength(0).atMostLength(64),
  })
    .array()
    .atMostLength(256),
});

export type Plan = typeof planType.infer;
export type Owe = typeof owe.infer;
export type Order = Owe["order"];
export type PlanRead = { plan: Plan } | { faults: PlanFault[] };
export interface PlanFault {
  path: string;
  problem: string;
}

/** The operators' configuration: data, checked whole, judged by pure functions on every node. */
export const Plans = {
  mostBytes: 1024 * 1024,

  read(value: unknown): PlanRead {
    const checked = planType(value);
    if (checked instanceof type.errors) {
      return { faults: [...checked].map((fault) => ({ path: fault.path.join("."), problem: fault.message })) };
    }
    const faults: PlanFault[] = [];
    const names = new Set<string>();
    checked.spaces.forEach((space, i) => {
      if (names.has(space.name))
        faults.push({ path: `spaces.${i}.name`, problem: `a second space is called ${space.name}` });
      names.add(space.name);
      const order = space.program[0]?.owe.order;
      space.program.forEach((rule, j) => {
        if (rule.owe.order === order) return;
        faults.push({
          path: `spaces.${i}.program.${j}.owe.order`,
          problem: `must be ${order}, as in the space's first rule: a space has one order`,
        });
      });
    });
    return faults.length > 0 ? { faults } : { plan: checked };
  },

  /** Whatever the text is. */
  parse(text: string): PlanRead {
    try {
      return Plans.read(JSON.parse(text));
    } catch (cause) {
      return { faults: [{ path: "", problem: `is not JSON: ${(cause as Error).message}` }] };
    }
  },

  /** A topic is `space/rest`. */
  spaceOf(topic: string): string {
    return topic.slice(0, Math.max(0, topic.indexOf("/")));
  },

  isTopic(topic: unknown): topic is string {
    return typeof topic === "string" && topic.length <= 200 && /^[a-z0-9][a-z0-9-]{0,62}\/[^\s/][^\s]*$/.test(topic);
  },

  /** The order of a space, which all its rules name. */
  orderOf(plan: Plan | undefined, space: string): Order | undefined {
    return plan?.spaces.find((one) => one.name === space)?.program[0]?.owe.order;
  },

  /** What the plan owes a topic: its space's first rule that matches; undefined where none does. */
  owed(plan: Plan | undefined, topic: string): Owe | undefined {
    const space = plan?.spaces.find((one) => one.name === Plans.spaceOf(topic));
    const rest = topic.slice(topic.indexOf("/") + 1);
    const rule = space?.program.find(
      ({ when: cond }) =>
        (cond.topic === undefined || cond.topic === rest) &&
        (cond.topicPrefix === undefined || rest.startsWith(cond.topicPrefix)),
    );
    return rule?.owe;
  },

  mayPublish(owed: Owe, session: string): boolean {
    return (
      owed.publishers === undefined ||
      owed.publishers.some((one) => one === session || (one.endsWith("*") && session.startsWith(one.slice(0, -1))))
    );
  },
};
