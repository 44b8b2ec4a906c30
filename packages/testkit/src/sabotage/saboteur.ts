import { spawn } from "node:child_process";
import { cpSync, mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, symlinkSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import PQueue from "p-queue";
import type { Mutant } from "./sabotage.js";

export interface MutantReport {
  name: string;
  outcome: "caught" | "not caught" | "cannot be done";
  failed: number;
}

/** Takes one guard at a time out of a copy of the built project and sees whether its test notices. */
export class MutantRunner {
  readonly #root: string;

  constructor(root: string) {
    this.#root = root;
  }

  async run(mutants: readonly Mutant[], atOnce: number, say: (report: MutantReport) => void): Promise<MutantReport[]> {
    const queue = new PQueue({ concurrency: atOnce });
    return queue.addAll(
      mutants.map((mutant) => async () => {
        const report = await this.#try(mutant);
        say(report);
        return report;
      }),
    );
  }

  async #try(mutant: Mutant): Promise<MutantReport> {
    const copy = this.#copy();
    try {
      const file = join(copy, "packages", mutant.file);
      const before = readFileSync(file, "utf8");
      if (!before.includes(mutant.find)) return { name: mutant.name, outcome: "cannot be done", failed: 0 };
      writeFileSync(
        file,
        before.replace(mutant.find, () => mutant.put),
      );
      const failed = await MutantRunner.#failures(join(copy, "packages", mutant.test));
      return { name: mutant.name, outcome: failed > 0 ? "caught" : "not caught", failed };
    } finally {
      rmSync(copy, { recursive: true, force: true });
    }
  }

  /** Built files are copied, libraries are linked. */
  #copy(): string {
    const copy = mkdtempSync(join(tmpdir(), "cranetrack-sabotage-"));
    const libraries = join(this.#root, "node_modules");
    mkdirSync(join(copy, "node_modules", "@cranetrack"), { recursive: true });
    for (const name of readdirSync(libraries))
      if (name !== "@cranetrack" && !name.startsWith("."))
        symlinkSync(join(libraries, name), join(copy, "node_modules", name));
    for (const name of readdirSync(join(this.#root, "packages"))) {
      const [from, to] = [join(this.#root, "packages", name), join(copy, "packages", name)];
      cpSync(join(from, "dist"), join(to, "dist"), { recursive: true });
      cpSync(join(from, "package.json"), join(to, "package.json"));
      symlinkSync(to, join(copy, "node_modules", "@cranetrack", name));
    }
    return copy;
  }

  static #failures(test: string): Promise<number> {
    return new Promise((resolve) => {
      const child = spawn(process.execPath, ["--test", "--test-reporter=tap", test], {
        stdio: ["ignore", "pipe", "ignore"],
      });
      let out = "";
      child.stdout.on("data", (chunk) => (out += String(chunk)));
      const giveUp = setTimeout(() => child.kill("SIGKILL"), 240_000);
      child.on("close", (code) => {
        clearTimeout(giveUp);
        resolve(Math.max(Number(/^# fail (\d+)/m.exec(out)?.[1] ?? 0), code === 0 ? 0 : 1));
      });
    });
  }
}
