import { randomBytes } from "node:crypto";
import { existsSync, mkdtempSync, readFileSync, readdirSync, rmSync, statSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { expect } from "earl";
import { IncarnationsKey } from "@cranetrack/core/keys/incarnationsKey.js";
import { ConfigurationView } from "@cranetrack/core/configuration/configurationView.js";
import type { Change } from "@cranetrack/core/feeds/feedFollower.js";
import { ChangeJournal } from "@cranetrack/core/feeds/changeJournal.js";
import { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";
import { ConfigurationArchive } from "./configurationArchive.js";

const textOf = (version: number): string => JSON.stringify({ mark: version, spaces: [] });

test("accepted configurations become commits in order; a lost or damaged archive restarts from the store", async () => {
  const folder = join(mkdtempSync(join(tmpdir(), "cranetrack-plans-")), "plans");
  const journal = new ChangeJournal<Change>();
  const log = new LogBuffer("test", () => undefined);
  const archive = new ConfigurationArchive(folder, new ConfigurationView(journal), log);
  const accept = (version: number, text = textOf(version)): void => {
    journal.append({
      key: IncarnationsKey.name,
      value: IncarnationsKey.write({ version, spaces: {} }),
      revision: version,
    });
    journal.append({ key: "plan", value: Buffer.from(text), revision: version });
  };
  accept(1);
  accept(4);
  accept(3);
  accept(5, `${textOf(5)}\n`);
  await archive.whenIdle();
  expect(await archive.versions()).toEqual([5, 4, 1]);
  expect(readFileSync(join(folder, ConfigurationArchive.fileName), "utf8")).toEqual(`${textOf(5)}\n`);

  rmSync(folder, { recursive: true });
  accept(6);
  await archive.whenIdle();
  expect(await archive.versions()).toEqual([6]);

  rmSync(folder, { recursive: true });
  writeFileSync(folder, "in the way");
  accept(7);
  await archive.whenIdle();
  expect([archive.version, log.lines.some((line) => line.includes("could not be archived"))]).toEqual([6, true]);
});

test("a full archive is rotated out, and the total size stays bounded", async () => {
  const folder = join(mkdtempSync(join(tmpdir(), "cranetrack-plans-")), "plans");
  const journal = new ChangeJournal<Change>();
  const log = new LogBuffer("test", () => undefined);
  const maxBytes = 60_000;
  const archive = new ConfigurationArchive(folder, new ConfigurationView(journal), log, maxBytes);
  const sizes: number[] = [];
  for (let version = 1; version <= 3 * ConfigurationArchive.commitsPerSizeCheck + 5; version += 1) {
    journal.append({
      key: IncarnationsKey.name,
      value: IncarnationsKey.write({ version, spaces: {} }),
      revision: version,
    });
    const filler = [...randomBytes(24_000)].map((byte) => (byte < 128 ? " " : "\t")).join("");
    const text = `${textOf(version)}${filler}`;
    journal.append({ key: "plan", value: Buffer.from(text), revision: version });
    await archive.whenIdle();
    expect(archive.version).toEqual(version);
    if (version % 5 !== 0) continue;
    const folders = [folder, archive.earlierFolder].filter((path) => existsSync(path));
    const files = folders.flatMap((path) =>
      readdirSync(path, { recursive: true }).map((name) => join(path, String(name))),
    );
    sizes.push(files.reduce((sum, name) => sum + statSync(name).size, 0));
  }
  // Two archives, each of the allowed size plus the commits between two size checks: three objects and folders a
  // commit.
  expect(Math.max(...sizes) < 2 * (maxBytes + ConfigurationArchive.commitsPerSizeCheck * 20_000)).toEqual(true);
  expect((await archive.versions()).length).toEqual(5);
  expect(existsSync(archive.earlierFolder)).toEqual(true);
});

test("of many configurations at once only the newest are committed, and the queue stays bounded", async () => {
  const folder = join(mkdtempSync(join(tmpdir(), "cranetrack-plans-")), "plans");
  const journal = new ChangeJournal<Change>();
  const archive = new ConfigurationArchive(
    folder,
    new ConfigurationView(journal),
    new LogBuffer("test", () => undefined),
  );
  for (let version = 1; version <= 50; version += 1) {
    journal.append({
      key: IncarnationsKey.name,
      value: IncarnationsKey.write({ version, spaces: {} }),
      revision: version,
    });
    journal.append({ key: "plan", value: Buffer.from(textOf(version)), revision: version });
  }
  await archive.whenIdle();
  const versions = await archive.versions();
  expect(versions[0]).toEqual(50);
  expect(versions.length <= ConfigurationArchive.maxPending + 1).toEqual(true);
});
