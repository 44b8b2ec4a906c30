/** Messages with every field set, each to a value of its own, for the golden files. */
import { ScalarType, type DescField, type DescMessage } from "@bufbuild/protobuf";
import type { NumberedMessage, NumberedValue } from "./wireNumbers.js";

/** Samples that together have every alternative of every oneof in the message and below it. */
export function samplesOf(schema: DescMessage): NumberedMessage[] {
  return Array.from({ length: alternativesIn(schema) }, (_, variant) => sampleOf(schema, variant));
}

/** All fields, with the alternative of this index in each oneof, and two elements in each list. */
export function sampleOf(schema: DescMessage, variant: number, path = ""): NumberedMessage {
  const isChosen = (field: DescField): boolean =>
    field.oneof === undefined || field.oneof.fields.indexOf(field) === variant % field.oneof.fields.length;
  const fields = schema.fields.filter(isChosen);
  return Object.fromEntries(fields.map((field) => [field.number, valueOf(field, variant, `${path}/${field.number}`)]));
}

/** How many samples it takes to have every alternative. */
export function alternativesIn(schema: DescMessage): number {
  const own = schema.oneofs.map((oneof) => oneof.fields.length);
  const nested = schema.fields.map((field) => (field.message === undefined ? 1 : alternativesIn(field.message)));
  return Math.max(1, ...own, ...nested);
}

function valueOf(field: DescField, variant: number, path: string): NumberedValue {
  if (field.fieldKind !== "list") return itemOf(field, variant, path);
  return [0, 1].map((index) => itemOf(field, variant + index, `${path}[${index}]`));
}

function itemOf(field: DescField, variant: number, path: string): NumberedValue {
  if (field.message !== undefined) return sampleOf(field.message, variant, path);
  return scalarOf((field as { scalar?: ScalarType }).scalar, path);
}

function scalarOf(type: ScalarType | undefined, path: string): NumberedValue {
  const distinct = numberFrom(path);
  switch (type) {
    case ScalarType.BOOL:
      return true;
    case ScalarType.UINT32:
      return distinct;
    case ScalarType.DOUBLE:
      return 2 ** 33 + distinct + 0.5;
    case ScalarType.BYTES:
      return Buffer.from(`\u0000ä${path}\u00ff`).toString("base64");
    case ScalarType.STRING:
      return `ä${path}`;
    default:
      throw new Error(`no sample for a field of type ${String(type)} at ${path}`);
  }
}

/** Differs from path to path; above what one byte of a varint holds. */
function numberFrom(path: string): number {
  return [...path].reduce((sum, character) => (sum * 31 + character.charCodeAt(0)) % 0xffff_fff1, 300) + 128;
}
