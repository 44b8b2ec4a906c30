import { mkdirSync, promises as fs } from "node:fs";
import * as nodeFs from "node:fs";
import { join } from "node:path";
import git from "isomorphic-git";
import PQueue from "p-queue";
import type { PlanView } from "@cranetrack/core/configuration/planView.js";
import type { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";

/**
 * Accepted plans as commits in a Git object store beside the lathe's data. Only a copy: it follows what the
 * metadata store accepted, is never on the way of an acceptance, and what is lost is made again from there.
 * Invariant: commits are made one at a time, in the order of the marks.
 */
export class PlanArchive {
  static readonly author = { name: "cranetrack", email: "cranetrack@localhost" };
  static readonly file = "plan.json";

  readonly #folder: string;
  readonly #log: LogBuffer;
  readonly #queue = new PQueue({ concurrency: 1 });
  #kept = 0;

  constructor(folder: string, plan: PlanView, log: LogBuffer) {
    this.#folder = folder;
    this.#log = log;
    plan.on("changed", () => this.#follow(plan.mark, plan.text));
  }

  /** The newest mark that is committed here. */
  get mark(): number {
    return this.#kept;
  }

  /** Resolves when all that was handed over is committed. */
  settled(): Promise<void> {
    return this.#queue.onIdle();
  }

  async marks(): Promise<number[]> {
    const commits = await git.log({ fs: nodeFs, dir: this.#folder }).catch(() => []);
    return commits.map(({ commit }) => Number(/^mark (\d+)/.exec(commit.message)?.[1] ?? 0));
  }

  #follow(mark: number, text: string): void {
    void this.#queue.add(async () => {
      try {
        await this.#commit(mark, text);
        this.#kept = mark;
      } catch (cause) {
        this.#log.warn("a plan could not be archived", { mark, why: (cause as Error).message });
      }
    });
  }

  async #commit(mark: number, text: string): Promise<void> {
    const dir = this.#folder;
    mkdirSync(dir, { recursive: true });
    await git.init({ fs: nodeFs, dir, defaultBranch: "main" });
    const [newest] = await this.marks();
    if (newest !== undefined && newest >= mark) return;
    await fs.writeFile(join(dir, PlanArchive.file), text);
    await git.add({ fs: nodeFs, dir, filepath: PlanArchive.file });
    await git.commit({ fs: nodeFs, dir, message: `mark ${mark}`, author: PlanArchive.author });
  }
}
