import { mkdirSync, promises as fs } from "node:fs";
import * as nodeFs from "node:fs";
import { join } from "node:path";
import git from "isomorphic-git";
import PQueue from "p-queue";
import type { ConfigurationView } from "@cranetrack/core/configuration/configurationView.js";
import type { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";

/**
 * Archives accepted configurations as commits of a Git repository beside the control node's data. It is only a copy: no
 * acceptance waits for it, and after a loss it starts again from the metadata store. Its size is bounded: a full
 * archive is rotated out and replaces the one rotated out before.
 * Invariant: commits are made one at a time, in ascending order of versions.
 */
export class ConfigurationArchive {
  /** Author of the commits. */
  static readonly author = { name: "cranetrack", email: "cranetrack@localhost" };
  /** File of the repository that holds the configuration. */
  static readonly fileName = "plan.json";
  /** Size in bytes from which an archive counts as full. At most two archives of about that size exist. */
  static readonly maxBytes = 8 * 1024 * 1024;
  /** Commits between two size checks, each of which reads the whole folder. */
  static readonly commitsPerSizeCheck = 25;
  /** Configurations that may wait to be committed; beyond this number the oldest is dropped. */
  static readonly maxPending = 8;

  readonly #folder: string;
  readonly #log: LogBuffer;
  readonly #queue = new PQueue({ concurrency: 1 });
  #committedVersion = 0;
  readonly #pendingCommits: Array<{ version: number; text: string }> = [];
  readonly #maxBytes: number;
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

  /** The last version committed by this process; 0 if there is none. */
  get version(): number {
    return this.#committedVersion;
  }

  /** Resolves when no enqueued configuration is left to commit, including those whose commit failed. */
  whenIdle(): Promise<void> {
    return this.#queue.onIdle();
  }

  /** The versions of the last `max` commits, newest first; of all commits if `max` is omitted. */
  async versions(max?: number): Promise<number[]> {
    const depth = max === undefined ? {} : { depth: max };
    const commits = await git.log({ fs: nodeFs, dir: this.#folder, ...depth }).catch(() => []);
    return commits.map(({ commit }) => Number(/^mark (\d+)/.exec(commit.message)?.[1] ?? 0));
  }

  /** Folder of the archive that was rotated out. */
  get earlierFolder(): string {
    return `${this.#folder}.earlier`;
  }

  #enqueue(version: number, text: string): void {
    this.#pendingCommits.push({ version, text });
    if (this.#pendingCommits.length > ConfigurationArchive.maxPending) this.#pendingCommits.shift();
    void this.#queue.add(async () => {
      const next = this.#pendingCommits.shift();
      if (next !== undefined) await this.#tryCommit(next.version, next.text);
    });
  }

  async #tryCommit(version: number, text: string): Promise<void> {
    try {
      await this.#commit(version, text);
      this.#committedVersion = version;
      await this.#rotateWhenFull();
    } catch (cause) {
      this.#log.warn("a configuration could not be archived", { version, why: (cause as Error).message });
    }
  }

  async #rotateWhenFull(): Promise<void> {
    this.#commitsSinceSizeCheck += 1;
    if (this.#commitsSinceSizeCheck % ConfigurationArchive.commitsPerSizeCheck !== 0) return;
    if ((await ConfigurationArchive.#folderBytes(this.#folder)) < this.#maxBytes) return;
    await fs.rm(this.earlierFolder, { recursive: true, force: true });
    await fs.rename(this.#folder, this.earlierFolder);
  }

  static async #folderBytes(folder: string): Promise<number> {
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
    await fs.writeFile(join(dir, ConfigurationArchive.fileName), text);
    await git.add({ fs: nodeFs, dir, filepath: ConfigurationArchive.fileName });
    await git.commit({ fs: nodeFs, dir, message: `mark ${version}`, author: ConfigurationArchive.author });
  }
}
