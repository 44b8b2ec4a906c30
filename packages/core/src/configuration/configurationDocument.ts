import type { Configuration, Space, TopicContract } from "./configuration.js";

/**
 * Field names of a configuration in API v1, and so also in the store and in the archive. They differ from the code's
 * terms and never change, because they are part of stored values whose digests are compared.
 */
export const documentFields = { version: "mark", contract: "owe" } as const;

type RuleDocument = { when: Space["program"][number]["when"] } & {
  [documentFields.contract]: Omit<TopicContract, "order"> & { order: string };
};

/** A configuration as an operator writes it in JSON, in the fields of API v1. */
export type ConfigurationDocument = Omit<Configuration, "version" | "spaces"> & {
  [documentFields.version]: number;
  spaces: Array<Omit<Space, "program"> & { program: RuleDocument[] }>;
};

/** An earlier word for the order `space`, still accepted. */
const legacySpaceOrder = "one";

/** Converts a document whose shape was checked. */
export function fromDocument(document: ConfigurationDocument): Configuration {
  const { [documentFields.version]: version, spaces, ...rest } = document;
  return { version, ...rest, spaces: spaces.map(spaceFrom) };
}

function spaceFrom({ program, ...space }: ConfigurationDocument["spaces"][number]): Space {
  return {
    ...space,
    program: program.map(({ when, [documentFields.contract]: contract }) => ({
      when,
      contract: contractFrom(contract),
    })),
  };
}

function contractFrom(contract: RuleDocument[typeof documentFields.contract]): TopicContract {
  const order = contract.order === legacySpaceOrder ? "space" : contract.order;
  return { ...contract, order: order as TopicContract["order"] };
}

/** Converts a configuration to its document; fields keep their order. */
export function toDocument({ version, ...rest }: Configuration): ConfigurationDocument {
  const spaces = rest.spaces.map(({ program, ...space }) => ({
    ...space,
    program: program.map(({ contract, ...rule }) => ({ ...rule, [documentFields.contract]: contract })),
  }));
  return { [documentFields.version]: version, ...rest, spaces };
}

/** A configuration as the JSON text that an operator would send. */
export function documentText(configuration: Configuration): string {
  return JSON.stringify(toDocument(configuration));
}
