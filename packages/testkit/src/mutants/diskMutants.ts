import type { Mutant } from "./mutant.js";

const test = "core/dist/storage/newFolder.test.js";

/** Guards of names in folders, which last only once their folder was synced. */
export const diskMutants: readonly Mutant[] = [
  {
    name: "a folder that is made has its name synced by nobody",
    file: "core/dist/storage/newFolder.js",
    find: "if (firstCreated === undefined)",
    put: "if (true)",
    test,
  },
  {
    name: "a journal's new name is synced by nobody",
    file: "core/dist/storage/journalDisk.js",
    find: "NewFolder.sync(this.#folder);",
    put: "",
    test,
  },
];
