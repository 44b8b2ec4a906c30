/**
 * SIGHUP, which announces that the settings file has changed. Unhandled, the signal ends a process: a program calls
 * `preventExit` before it loads anything else, and `listen` once it can check the file. This module imports nothing.
 */
export const SettingsSignal = {
  name: "SIGHUP",

  /** Keeps the signal from ending the process. A file that changes before `listen` is checked anyway. */
  preventExit(): void {
    process.on(SettingsSignal.name, () => undefined);
  },

  /** Calls `onSignal` on each signal. */
  listen(onSignal: () => void): void {
    process.on(SettingsSignal.name, onSignal);
  },
} as const;
