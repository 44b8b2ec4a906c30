import { EventEmitter } from "node:events";
import { readFileSync } from "node:fs";
import type { Clock } from "./clock.js";
import type { Settings, SettingsRead } from "./settings.js";

/**
 * Applies a changed settings file, with or without a signal. Invalid settings, and changes that need a restart, are not
 * applied but reported as a fault.
 */
export class SettingsWatch extends EventEmitter<{ changed: [settings: Settings]; fault: [text: string] }> {
  /** Milliseconds between checks of the file. */
  static readonly checkIntervalMs = 1000;
  /** Keys that apply without a restart. */
  static readonly reloadableKeys = ["maxConnections", "bufferBytes"] as const;

  readonly #path: string;
  readonly #readSettings: () => SettingsRead;
  #settings: Settings;
  /** Content at the last check; empty at first, because the file may have changed since the settings were read. */
  #lastContent = "";
  /** Why the current file is not, or not fully, in force; empty if it is. */
  fault = "";

  constructor(path: string, readSettings: () => SettingsRead, settings: Settings, clock: Clock) {
    super();
    this.#path = path;
    this.#readSettings = readSettings;
    this.#settings = settings;
    clock.every(SettingsWatch.checkIntervalMs, () => this.check());
  }

  /** Reads the file and applies it if its content has changed since the last check. */
  check(): void {
    const content = this.#readFile();
    if (content === this.#lastContent) return;
    this.#lastContent = content;
    const read = this.#readSettings();
    if ("problems" in read)
      return this.#reportFault(`the settings file is bad, the old settings stay: ${read.problems.join("; ")}`);
    const reloadable: readonly string[] = SettingsWatch.reloadableKeys;
    const keys = Object.keys({ ...this.#settings, ...read.settings }) as Array<keyof Settings>;
    const restartKeys = keys.filter(
      (key) => !reloadable.includes(key) && JSON.stringify(read.settings[key]) !== JSON.stringify(this.#settings[key]),
    );
    const applied: Settings = { ...this.#settings };
    for (const key of SettingsWatch.reloadableKeys) applied[key] = read.settings[key];
    this.#settings = applied;
    this.fault = "";
    this.emit("changed", applied);
    if (restartKeys.length > 0)
      this.#reportFault(`changed in the file and taken up only at the next start: ${restartKeys.join(", ")}`);
  }

  #reportFault(text: string): void {
    this.fault = text;
    this.emit("fault", text);
  }

  #readFile(): string {
    try {
      return readFileSync(this.#path, "utf8");
    } catch {
      return "";
    }
  }
}
