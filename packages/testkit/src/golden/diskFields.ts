/**
 * Protobuf messages by field number, read without the product's schema: a golden expectation written with it holds
 * numbers and types to what they are, whatever the fields are called.
 */

/** A field as it lies in the bytes: a double or a varint as a number, anything with a length as bytes. */
type FieldValue = number | Buffer;

/** The fields of one message. */
export class MessageFields {
  readonly #values = new Map<number, FieldValue[]>();

  constructor(bytes: Uint8Array) {
    const reader = new FieldReader(Buffer.from(bytes));
    for (let field = reader.next(); field !== undefined; field = reader.next())
      this.#values.set(field.number, [...(this.#values.get(field.number) ?? []), field.value]);
  }

  /** The numbers of the fields that are there. */
  get present(): number[] {
    return [...this.#values.keys()].sort((first, second) => first - second);
  }

  /** A double or a varint; 0 where it is left out. */
  number(field: number): number {
    const value = this.#values.get(field)?.at(-1) ?? 0;
    if (typeof value !== "number") throw new Error(`field ${field} is not a number`);
    return value;
  }

  /** Bytes; none where they are left out. */
  bytes(field: number): Buffer {
    return this.#list(field).at(-1) ?? Buffer.alloc(0);
  }

  /** A string; empty where it is left out. */
  text(field: number): string {
    return this.bytes(field).toString();
  }

  /** A repeated message. */
  messages(field: number): MessageFields[] {
    return this.#list(field).map((bytes) => new MessageFields(bytes));
  }

  #list(field: number): Buffer[] {
    return (this.#values.get(field) ?? []).map((value) => {
      if (typeof value === "number") throw new Error(`field ${field} has no length`);
      return value;
    });
  }
}

/** Takes one field after the other off the bytes of a message. */
class FieldReader {
  readonly #bytes: Buffer;
  #offset = 0;

  constructor(bytes: Buffer) {
    this.#bytes = bytes;
  }

  next(): { number: number; value: FieldValue } | undefined {
    if (this.#offset >= this.#bytes.length) return undefined;
    const tag = this.#varint();
    return { number: tag >> 3, value: this.#value(tag & 7) };
  }

  #value(wireType: number): FieldValue {
    if (wireType === 0) return this.#varint();
    if (wireType === 1) return this.#take(8).readDoubleLE();
    if (wireType === 2) return this.#take(this.#varint());
    throw new Error(`wire type ${wireType} is not used by this protocol`);
  }

  #varint(): number {
    let value = 0;
    for (let scale = 1; ; scale *= 128) {
      const byte = this.#take(1)[0]!;
      value += (byte & 127) * scale;
      if (byte < 128) return value;
    }
  }

  #take(length: number): Buffer {
    const end = this.#offset + length;
    if (end > this.#bytes.length) throw new Error("the message is cut off");
    const taken = this.#bytes.subarray(this.#offset, end);
    this.#offset = end;
    return taken;
  }
}
