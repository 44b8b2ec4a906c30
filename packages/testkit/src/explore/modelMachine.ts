import { ModelDisk } from "./modelDisk.js";
import type { ModelMember } from "./modelMember.js";

/** A machine on which processes run one after another, and its disk, which has an identity of its own. */
export class ModelMachine {
  readonly name: string;
  readonly index: number;
  readonly disk = new ModelDisk();
  /** The present process, or the last one if it crashed. */
  member: ModelMember | undefined;
  /** Number of processes started on this machine. */
  incarnations = 0;
  #replacedDiskCount = 0;
  /** Digest of all inputs of the process since its start and of the disk it started from: same digest, same state. */
  history = "";

  constructor(index: number) {
    this.index = index;
    this.name = `m${index}`;
  }

  /** Identity of this machine as a member of the replicated log; a replaced disk gives it a new one. */
  get diskId(): string {
    return `${this.name}#${this.#replacedDiskCount}`;
  }

  replaceDisk(): void {
    this.disk.wipe();
    this.#replacedDiskCount += 1;
  }
}
