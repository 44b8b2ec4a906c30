import { createHash } from "node:crypto";

/**
 * The kinds of hashed content. The texts are hashed with the content, and the digests are stored with acknowledged
 * versions, so the texts never change, whatever the code calls these contents.
 */
export const contentKind = { configuration: "plan", document: "document" } as const;

export type ContentKind = (typeof contentKind)[keyof typeof contentKind];

/**
 * SHA-256 over what an operator sent, in canonical form: equal for JSON texts that differ only in white space, the
 * order of an object's keys and the spelling of numbers and strings. Content that is not JSON is hashed byte for byte.
 * A configuration alone and a document about a configuration never have the same digest.
 */
export function contentDigest(kind: ContentKind, bytes: Uint8Array): Uint8Array {
  return createHash("sha256").update(`${kind}\n`).update(canonicalOf(bytes)).digest();
}

function canonicalOf(bytes: Uint8Array): Uint8Array | string {
  try {
    return canonical(JSON.parse(new TextDecoder("utf8", { fatal: true }).decode(bytes)));
  } catch {
    return bytes;
  }
}

function canonical(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(canonical).join()}]`;
  if (typeof value !== "object" || value === null) return JSON.stringify(value);
  const fields = Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1));
  return `{${fields.map(([key, field]) => `${JSON.stringify(key)}:${canonical(field)}`).join()}}`;
}
