import { DataFolderError } from "../errors.js";
import type { Disk, DiskChange } from "./disk.js";
import { Checksum } from "../rpc/checksum.js";

/** Adds checksums to the values of a disk. Reading a damaged value throws `DataFolderError`. */
export class ChecksummedDisk implements Disk {
  readonly #disk: Disk;

  constructor(disk: Disk) {
    this.#disk = disk;
  }

  read(prefix: string): Array<{ key: string; value: Uint8Array }> {
    return this.#disk.read(prefix).map(({ key, value }) => {
      const verified = Checksum.verify(value);
      if (verified === undefined) throw new DataFolderError(`the data folder is damaged at ${key}`);
      return { key, value: verified };
    });
  }

  fillShare(extraBytes: number): number {
    return this.#disk.fillShare?.(extraBytes) ?? 0;
  }

  write(changes: DiskChange[]): Promise<void> {
    return this.#disk.write(
      changes.map((change) =>
        "isRemoved" in change ? change : { key: change.key, value: Checksum.prepend(change.value) },
      ),
    );
  }
}
