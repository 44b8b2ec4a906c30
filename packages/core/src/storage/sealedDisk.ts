import VError from "verror";
import type { Disk, DiskChange } from "./disk.js";
import { Checksum } from "../rpc/seal.js";

/** A disk whose values carry checksums; a damaged one stops the process rather than be believed. */
export class ChecksummedDisk implements Disk {
  readonly #disk: Disk;

  constructor(disk: Disk) {
    this.#disk = disk;
  }

  read(prefix: string): Array<{ key: string; value: Uint8Array }> {
    return this.#disk.read(prefix).map(({ key, value }) => {
      const opened = Checksum.verify(value);
      if (opened === undefined) throw new VError({ name: "DataFolderFault" }, "the data folder is damaged at %s", key);
      return { key, value: opened };
    });
  }

  write(changes: DiskChange[]): Promise<void> {
    return this.#disk.write(
      changes.map((change) =>
        "isRemoved" in change ? change : { key: change.key, value: Checksum.prepend(change.value) },
      ),
    );
  }
}
