// What a case sent, was answered and ran: one line each, with the seconds since its start.
import { appendFileSync, writeFileSync } from "node:fs";

/** The record of one run of a case. */
export class Record {
  #path;
  #startedAt = performance.now();

  constructor(path) {
    this.#path = path;
    writeFileSync(path, "");
  }

  /** Seconds since the start. */
  get now() {
    return (performance.now() - this.#startedAt) / 1000;
  }

  /** Adds a line: who, and what was said or done. */
  note(who, what) {
    appendFileSync(this.#path, `${this.now.toFixed(3).padStart(8)} ${who}: ${what}\n`);
  }
}
