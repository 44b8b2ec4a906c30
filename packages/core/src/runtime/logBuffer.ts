import { appendFileSync } from "node:fs";
import { Roarr } from "roarr";

type Context = Record<string, string | number | boolean | null>;

/**
 * The last few hundred log lines in memory. They are written out when something goes wrong
 * (`fault`) and otherwise only kept.
 */
export class LogBuffer {
  readonly #name: string;
  readonly #maxLines: number;
  readonly #write: (text: string) => void;
  readonly #log: typeof Roarr;
  /** Invariant: never longer than #most; oldest first. */
  #lines: string[] = [];
  /** The last fault, as status shows it. */
  lastFault = "";

  constructor(name: string, write: (text: string) => void = (text) => process.stderr.write(text), maxLines = 400) {
    this.#name = name;
    this.#maxLines = maxLines;
    this.#write = write;
    this.#log = Roarr.child({ program: name });
  }

  static toFile(name: string, path: string | undefined): LogBuffer {
    if (path === undefined) return new LogBuffer(name);
    return new LogBuffer(name, (text) => appendFileSync(path, text));
  }

  note(text: string, context: Context = {}): void {
    this.#keep("note", text, context);
  }

  warn(text: string, context: Context = {}): void {
    this.#keep("warn", text, context);
  }

  /** Something went wrong: the whole ring is written out, once. */
  fault(text: string, context: Context = {}): void {
    this.#keep("fault", text, context);
    this.lastFault = text;
    const lines = this.#lines;
    this.#lines = [];
    this.#write(lines.map((line) => `${line}\n`).join(""));
  }

  /** A line that is written out by itself at once: the rest of the ring is of no use without a fault. */
  report(text: string, context: Context = {}): void {
    this.#write(`${this.#keep("note", text, context)}\n`);
  }

  get lines(): readonly string[] {
    return this.#lines;
  }

  #keep(level: "note" | "warn" | "fault", text: string, context: Context): string {
    const line = JSON.stringify({ at: new Date().toISOString(), level, program: this.#name, text, ...context });
    this.#lines.push(line);
    if (this.#lines.length > this.#maxLines) this.#lines.shift();
    if (level === "fault") this.#log.error(context, text);
    return line;
  }
}
