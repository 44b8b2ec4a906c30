import { closeSync, fsyncSync, mkdirSync, openSync } from "node:fs";
import { dirname, resolve } from "node:path";

/**
 * Folders whose names outlast a loss of power.
 * Invariant: a folder that was made has its name synced in the folder above before anything is kept in it.
 */
export const NewFolder = {
  /** Makes a folder and those above it that are missing. */
  make(folder: string): void {
    const first = mkdirSync(folder, { recursive: true });
    if (first === undefined) return;
    const top = dirname(resolve(first));
    for (let above = dirname(resolve(folder)); above.length >= top.length; above = dirname(above)) {
      NewFolder.sync(above);
      if (above === top) return;
    }
  },

  /** The names in a folder, as they are now. */
  sync(folder: string): void {
    const file = openSync(folder, "r");
    fsyncSync(file);
    closeSync(file);
  },
};
