/**
 * The key of the operators' own document about the configuration in force; written with the configuration, and pushed
 * to nobody.
 */
export const DocumentKey = { name: "documents/plan" };
