import { mkdirSync, promises as fs } from "node:fs";
import * as nodeFs from "node:fs";
import { join } from "node:path";
import git from "isomorphic-git";
import PQueue from "p-queue";
import type { ConfigurationView } from "@cranetrack/core/configuration/configurationView.js";
import type { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";

/**
 * Accepted configurations as commits in a Git object store beside the control node's data. Only a copy: it follows what
 * the
 * metadata store accepted, is never on the way of an acceptance, and what is lost is made again from there.
 * Its size is bounded: a full archive becomes the earlier one, beside it, in place of the one before.
 * Invariant: commits are made one at a time, in the order of the versions.
 */
export class ConfigurationArchive {
  static readonly author = { name: "cranetrack", email: "cranetrack@localhost" };
  static readonly file = "plan.json";
  /** Bytes on the disk from which on an archive is full; there are at most two of that size. */
  static readonly maxBytes = 8 * 1024 * 1024;
  /** The size is looked at each so many commits: that reads the whole folder. */
  static readonly commitsPerSizeCheck = 25;
  /** Configurations that may wait to be committed; of more the oldest are left out. */
  static readonly maxPending = 8;

  readonly #folder: string;
  readonly #log: LogBuffer;
  readonly #queue = new PQueue({ concurrency: 1 });
  #committedVersion = 0;
  readonly #pending: Array<{ version: number; text: string }> = [];
  readonly #maxBytes: number;
  /** Commits since the archive's size was looked at. */
  #commitsSinceSizeCheck = 0;

  constructor(
    folder: string,
    configuration: ConfigurationView,
    log: LogBuffer,
    maxBytes = ConfigurationArchive.maxBytes,
  ) {
    this.#folder = folder;
    this.#log = log;
    this.#maxBytes = maxBytes;
    configuration.on("changed", () => this.#enqueue(configuration.version, configuration.text));
  }

  /** The newest version that is committed here. */
  get version(): number {
    return this.#committedVersion;
  }

  /** Resolves when all that was handed over is committed. */
  whenIdle(): Promise<void> {
    return this.#queue.onIdle();
  }

  /** The versions of the newest commits, newest first; without a number, of all. */
  async versions(max?: number): Promise<number[]> {
    const depth = max === undefined ? {} : { depth: max };
    const commits = await git.log({ fs: nodeFs, dir: this.#folder, ...depth }).catch(() => []);
    return commits.map(({ commit }) => Number(/^mark (\d+)/.exec(commit.message)?.[1] ?? 0));
  }

  /** Where the archive is that was full. */
  get earlierFolder(): string {
    return `${this.#folder}.earlier`;
  }

  #enqueue(version: number, text: string): void {
    this.#pending.push({ version, text });
    if (this.#pending.length > ConfigurationArchive.maxPending) this.#pending.shift();
    void this.#queue.add(async () => {
      const next = this.#pending.shift();
      if (next !== undefined) await this.#archive(next.version, next.text);
    });
  }

  async #archive(version: number, text: string): Promise<void> {
    try {
      await this.#commit(version, text);
      this.#committedVersion = version;
      await this.#rotateWhenFull();
    } catch (cause) {
      this.#log.warn("a plan could not be archived", { version, why: (cause as Error).message });
    }
  }

  async #rotateWhenFull(): Promise<void> {
    this.#commitsSinceSizeCheck += 1;
    if (this.#commitsSinceSizeCheck % ConfigurationArchive.commitsPerSizeCheck !== 0) return;
    if ((await ConfigurationArchive.#sizeOf(this.#folder)) < this.#maxBytes) return;
    await fs.rm(this.earlierFolder, { recursive: true, force: true });
    await fs.rename(this.#folder, this.earlierFolder);
  }

  static async #sizeOf(folder: string): Promise<number> {
    const names = await fs.readdir(folder, { recursive: true });
    const stats = await Promise.all(names.map((name) => fs.stat(join(folder, name))));
    return stats.reduce((sum, { size }) => sum + size, 0);
  }

  async #commit(version: number, text: string): Promise<void> {
    const dir = this.#folder;
    mkdirSync(dir, { recursive: true });
    await git.init({ fs: nodeFs, dir, defaultBranch: "main" });
    const [newest] = await this.versions(1);
    if (newest !== undefined && newest >= version) return;
    await fs.writeFile(join(dir, ConfigurationArchive.file), text);
    await git.add({ fs: nodeFs, dir, filepath: ConfigurationArchive.file });
    await git.commit({ fs: nodeFs, dir, message: `mark ${version}`, author: ConfigurationArchive.author });
  }
}
