import { ModelDisk } from "./modelDisk.js";
import type { ModelMember } from "./modelMember.js";

/** A place where processes live one after the other, and its disk, which has an identity of its own. */
export class ModelMachine {
  readonly name: string;
  readonly place: number;
  readonly disk = new ModelDisk();
  /** The process that runs now. */
  member: ModelMember | undefined;
  incarnations = 0;
  #disks = 0;
  /** Stands for all that the process has taken in since its start, and for its disk before: same text, same state. */
  history = "";

  constructor(place: number) {
    this.place = place;
    this.name = `m${place}`;
  }

  /** Who this machine is in the replicated log: a blank disk makes it another. */
  get diskId(): string {
    return `${this.name}#${this.#disks}`;
  }

  replaceDisk(): void {
    this.disk.wipe();
    this.#disks += 1;
  }
}
