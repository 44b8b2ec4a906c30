/** The key of the operators' own document about the plan in force; written with the plan, and pushed to nobody. */
export const DocumentKey = { name: "documents/plan" };
