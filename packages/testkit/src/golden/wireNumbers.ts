/** Protobuf messages as JSON under field numbers, which outlive every rename of messages and fields. */
import { create, ScalarType, type DescField, type DescMessage, type Message } from "@bufbuild/protobuf";
import { reflect, type ReflectMessage } from "@bufbuild/protobuf/reflect";

/** A scalar; bytes are written as base64, nested messages by number again. */
export type NumberedValue = string | number | boolean | NumberedMessage | NumberedValue[];

/** A message's fields that are set, by number. */
export interface NumberedMessage {
  [fieldNumber: string]: NumberedValue;
}

/** The fields of a message that are set. */
export function toNumbers(schema: DescMessage, message: Message): NumberedMessage {
  return numbersOf(reflect(schema, message));
}

/** The message with these fields; throws where the schema has no field of a number. */
export function fromNumbers(schema: DescMessage, numbered: NumberedMessage): Message {
  return reflectionOf(schema, numbered).message;
}

/** The same message with one field less. */
export function withoutField(numbered: NumberedMessage, fieldNumber: number): NumberedMessage {
  return Object.fromEntries(Object.entries(numbered).filter(([number]) => Number(number) !== fieldNumber));
}

function numbersOf(message: ReflectMessage): NumberedMessage {
  const set = message.sortedFields.filter((field) => message.isSet(field));
  return Object.fromEntries(set.map((field) => [String(field.number), valueOf(message, field)]));
}

function valueOf(message: ReflectMessage, field: DescField): NumberedValue {
  const value: unknown = message.get(field);
  return field.fieldKind === "list" ? [...(value as Iterable<unknown>)].map(plainOf) : plainOf(value);
}

function plainOf(value: unknown): NumberedValue {
  if (value instanceof Uint8Array) return Buffer.from(value).toString("base64");
  return typeof value === "object" ? numbersOf(value as ReflectMessage) : (value as NumberedValue);
}

function reflectionOf(schema: DescMessage, numbered: NumberedMessage): ReflectMessage {
  const message = reflect(schema, create(schema));
  for (const [number, value] of Object.entries(numbered)) {
    const field = schema.fields.find((one) => one.number === Number(number));
    if (field === undefined) throw new Error(`${schema.typeName} has no field ${number}`);
    if (field.fieldKind !== "list") message.set(field, itemOf(field, value));
    else for (const item of value as NumberedValue[]) message.get(field).add(itemOf(field, item));
  }
  return message;
}

function itemOf(field: DescField, value: NumberedValue): unknown {
  if (field.message !== undefined) return reflectionOf(field.message, value as NumberedMessage);
  return isBytes(field) ? Uint8Array.from(Buffer.from(value as string, "base64")) : value;
}

function isBytes(field: DescField): boolean {
  return "scalar" in field && field.scalar === ScalarType.BYTES;
}
