import { mkdirSync } from "node:fs";
import { open, type RootDatabase } from "lmdb";
import VError from "verror";
import type { Disk, DiskChange } from "./disk.js";

/**
 * lmdb-js may resolve a commit before it is flushed (overlapping sync), so a write here
 * waits for the flush that covers it.
 */
export class LmdbDisk implements Disk {
  readonly #db: RootDatabase<Uint8Array, string>;

  constructor(folder: string) {
    try {
      mkdirSync(folder, { recursive: true });
      this.#db = open<Uint8Array, string>({ path: folder, encoding: "binary", overlappingSync: true, noSubdir: false });
      const format = this.#db.get("format");
      const isEmpty = this.#db.getKeysCount({ limit: 1 }) === 0;
      if (!isEmpty && (format === undefined || Buffer.from(format).toString() !== "cranetrack 1")) throw new Error("it holds another program's data");
      if (isEmpty) this.#db.putSync("format", Buffer.from("cranetrack 1"));
    } catch (cause) {
      throw new VError({ name: "DataFolderFault", cause: cause as Error }, "the data folder %s cannot be used", folder);
    }
  }

  read(prefix: string): Array<{ key: string; value: Uint8Array }> {
    const found: Array<{ key: string; value: Uint8Array }> = [];
    for (const { key, value } of this.#db.getRange({ start: prefix, end: `${prefix}\u{10ffff}` })) {
      found.push({ key, value: Uint8Array.from(value) });
    }
    return found;
  }

  async write(changes: DiskChange[]): Promise<void> {
    const committed = this.#db.batch(() => {
      for (const change of changes) {
        if ("isRemoved" in change) void this.#db.remove(change.key);
        else void this.#db.put(change.key, change.value);
      }
    });
    await committed;
    await this.#db.flushed;
  }

  async close(): Promise<void> {
    await this.#db.close();
  }
}
