import { documentFields } from "./configurationDocument.js";

/** The terms of the code, and the fields of API v1 that they stand for. */
const fieldNames = new Map<string, string>(Object.entries(documentFields));

/**
 * For tests: the document that an operator sends for a configuration, which may be invalid on purpose. Fields are
 * renamed at every depth and keep their order.
 */
export function documentOf(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(documentOf);
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, field]) => [fieldNames.get(key) ?? key, documentOf(field)]),
  );
}

/** The document as JSON text. */
export function documentTextOf(configuration: unknown): string {
  return JSON.stringify(documentOf(configuration));
}
