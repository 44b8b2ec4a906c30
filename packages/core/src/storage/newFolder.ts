import { closeSync, fsyncSync, mkdirSync, openSync } from "node:fs";
import { dirname, resolve } from "node:path";

/**
 * Creates folders that survive a power failure.
 * Invariant: the entry of a created folder is synced in its parent before anything is stored in the folder.
 */
export const NewFolder = {
  /** Creates a folder and its missing parents. */
  make(folder: string): void {
    const firstCreated = mkdirSync(folder, { recursive: true });
    if (firstCreated === undefined) return;
    const topmostParent = dirname(resolve(firstCreated));
    for (let parent = dirname(resolve(folder)); parent.length >= topmostParent.length; parent = dirname(parent)) {
      NewFolder.sync(parent);
      if (parent === topmostParent) return;
    }
  },

  /** Syncs the entries of a folder, so that files created or renamed in it keep their names. */
  sync(folder: string): void {
    const file = openSync(folder, "r");
    fsyncSync(file);
    closeSync(file);
  },
};
