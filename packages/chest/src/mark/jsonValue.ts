import { type, type Type } from "arktype";

/** Values of keys that are JSON inside. What is none of the shape is undefined: nobody's bytes stop a process. */
export const JsonValue = {
  write(record: object): Uint8Array {
    return Buffer.from(JSON.stringify(record));
  },

  read<T>(value: Uint8Array, shape: Type<T>): T | undefined {
    try {
      const checked: unknown = shape(JSON.parse(Buffer.from(value).toString()));
      return checked instanceof type.errors ? undefined : (checked as T);
    } catch {
      return undefined;
    }
  },
};
