/**
 * The key of the document that operators keep with the current configuration. It is written together with the
 * configuration and not pushed to other nodes.
 */
export const DocumentKey = { name: "documents/plan" };
