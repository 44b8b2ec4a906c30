import { appendFileSync } from "node:fs";
import { Roarr } from "roarr";

type Context = Record<string, string | number | boolean | null>;

/**
 * Keeps the last log lines in memory (400 by default) and writes them out only when something goes wrong (`fault`).
 */
export class LogBuffer {
  readonly #name: string;
  readonly #maxLines: number;
  readonly #write: (text: string) => void;
  readonly #log: typeof Roarr;
  /** Oldest first. Invariant: at most `#maxLines` lines. */
  #lines: string[] = [];
  /** Text of the last fault, shown in the status. */
  lastFault = "";

  constructor(name: string, write: (text: string) => void = (text) => process.stderr.write(text), maxLines = 400) {
    this.#name = name;
    this.#maxLines = maxLines;
    this.#write = write;
    this.#log = Roarr.child({ program: name });
  }

  /** A log that is appended to the file at `path`, or written to stderr without a path. */
  static toFile(name: string, path: string | undefined): LogBuffer {
    if (path === undefined) return new LogBuffer(name);
    return new LogBuffer(name, (text) => appendFileSync(path, text));
  }

  note(text: string, context: Context = {}): void {
    this.#append("note", text, context);
  }

  warn(text: string, context: Context = {}): void {
    this.#append("warn", text, context);
  }

  /** Logs a fault and writes out all buffered lines, which are then removed from the buffer. */
  fault(text: string, context: Context = {}): void {
    this.#append("fault", text, context);
    this.lastFault = text;
    const lines = this.#lines;
    this.#lines = [];
    this.#write(lines.map((line) => `${line}\n`).join(""));
  }

  /** Writes out a single line at once, without the other buffered lines. */
  report(text: string, context: Context = {}): void {
    this.#write(`${this.#append("note", text, context)}\n`);
  }

  get lines(): readonly string[] {
    return this.#lines;
  }

  #append(level: "note" | "warn" | "fault", text: string, context: Context): string {
    const line = JSON.stringify({ at: new Date().toISOString(), level, program: this.#name, text, ...context });
    this.#lines.push(line);
    if (this.#lines.length > this.#maxLines) this.#lines.shift();
    if (level === "fault") this.#log.error(context, text);
    return line;
  }
}
