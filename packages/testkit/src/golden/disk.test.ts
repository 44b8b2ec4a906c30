/**
 * Data folders that the program of revision ca00b7a wrote are read by the present one: every record, written again with
 * the same bytes. `packages/testkit/golden/disk` and its `expected.json` never change.
 */
import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { expect } from "earl";
import {
  decodeJournalCommit,
  encodeJournalCommit,
  openDisk,
  readLog,
  rewriteLog,
  withChecksum,
  withoutChecksums,
  type DiskKind,
  type DiskRecord,
  type JournalCommit,
} from "./diskAdapter.js";
import { digest, writtenRecords } from "./diskContent.js";
import { copyOfFolders, expectationFor } from "./diskExpectation.js";
import { diskKinds, goldenFolder, nodesWithData } from "./diskFleet.js";

const journalHead = "cranetrack journal 1\n";
const logGroups = { control: ["store"], storage: ["shard000", "shard001", "shard002", "shard003"] };
const groupsWithSnapshot = ["store", "shard002", "shard003"];

/** All records as they lie on the disk, checksums included. */
async function rawRecords(kind: DiskKind, folder: string): Promise<DiskRecord[]> {
  const disk = await openDisk(kind, folder);
  const records = disk.read();
  await disk.close();
  return records;
}

/** The records that the node wrote; lmdb's disk class keeps its own `format` besides, without a checksum. */
async function nodeRecords(kind: DiskKind, folder: string): Promise<DiskRecord[]> {
  return withoutChecksums((await rawRecords(kind, folder)).filter(({ key }) => key !== "format"));
}

const hexRecords = (records: readonly DiskRecord[]): string[][] =>
  records.map(({ key, value }) => [key, Buffer.from(value).toString("hex")]);

const blankFolder = (): string => mkdtempSync(join(tmpdir(), "cranetrack-golden-"));

function commitsOf(journal: Buffer): JournalCommit[] {
  const commits: JournalCommit[] = [];
  let start = journalHead.length;
  while (start < journal.length) {
    const commit = decodeJournalCommit(journal, start);
    if (commit === undefined) throw new Error(`no group commit at byte ${start}`);
    commits.push(commit);
    start = commit.end;
  }
  return commits;
}

for (const kind of diskKinds) {
  for (const node of nodesWithData) {
    void describe(`the golden ${kind} folder of a ${node} node`, () => {
      void it("holds the records of the written expectation", async () => {
        const records = await nodeRecords(kind, join(copyOfFolders(kind), node));
        expect(writtenRecords(records) as unknown).toEqual(expectationFor(kind)[node].records);
      });

      void it("holds logs that are read as their entries and snapshots say", async () => {
        const records = await nodeRecords(kind, join(copyOfFolders(kind), node));
        for (const group of logGroups[node]) {
          const log = readLog(records, group);
          const contentOf = (key: string): unknown =>
            expectationFor(kind)[node].records.find((record) => record.key === `${group}/${key}`)?.content;
          expect(log.fault).toEqual(undefined);
          expect({ term: log.term, vote: log.vote }).toEqual(contentOf("m") as { term: number; vote: string });
          const { index = 0, indexTerm = 0 } = (contentOf("p") ?? {}) as { index?: number; indexTerm?: number };
          expect([log.snapshotIndex, log.snapshotTerm]).toEqual([index, indexTerm]);
          expect(index > 0).toEqual(groupsWithSnapshot.includes(group));
          expect(log.entries.length > 0).toEqual(true);
          for (const { data, ...entry } of log.entries)
            expect(contentOf(`e/${String(entry.index).padStart(16, "0")}`)).toEqual({
              ...entry,
              dataSha256: digest(data),
            });
        }
      });

      void it("gets the same bytes when its logs are written again", async () => {
        const records = await nodeRecords(kind, join(copyOfFolders(kind), node));
        for (const group of logGroups[node]) {
          const written = await rewriteLog(records, group);
          const { snapshotIndex } = readLog(records, group);
          // A log that is written behind its snapshot has no tail in front of it.
          const kept = records.filter(({ key }) => {
            const [owner, part, index] = key.split("/");
            return owner === group && (part !== "e" || Number(index) > snapshotIndex);
          });
          expect(hexRecords(written).sort()).toEqual(hexRecords(kept).sort());
        }
      });

      void it("has checksums that are made again with the same bytes", async () => {
        const folder = join(copyOfFolders(kind), node);
        const raw = (await rawRecords(kind, folder)).filter(({ key }) => key !== "format");
        const again = (await nodeRecords(kind, folder)).map(({ key, value }) => ({ key, value: withChecksum(value) }));
        expect(hexRecords(again)).toEqual(hexRecords(raw));
      });

      // The pages of lmdb depend on when its readers and writers came: its keys and values are compared, not its file.
      void it("gives the same keys and values in a blank folder", async () => {
        const records = await rawRecords(kind, join(copyOfFolders(kind), node));
        const folder = blankFolder();
        const disk = await openDisk(kind, folder);
        await disk.write(records.filter(({ key }) => key !== "format"));
        await disk.close();
        expect(hexRecords(await rawRecords(kind, folder))).toEqual(hexRecords(records));
      });
    });
  }
}

void describe("the golden lmdb folders", () => {
  void it("name their format", async () => {
    for (const node of nodesWithData) {
      const records = await rawRecords("lmdb", join(copyOfFolders("lmdb"), node));
      const format = records.find(({ key }) => key === "format")!;
      expect(Buffer.from(format.value).toString()).toEqual("cranetrack 3");
    }
  });
});

for (const node of nodesWithData) {
  void describe(`the golden journal of a ${node} node`, () => {
    const journal = readFileSync(join(goldenFolder, "journal", node, "journal"));

    void it("is its head and group commits that are encoded to the same bytes", () => {
      const encoded = commitsOf(journal).map(({ sequence, changes }) => encodeJournalCommit(sequence, changes));
      const again = Buffer.concat([Buffer.from(journalHead), ...encoded]);
      expect(again.toString("hex")).toEqual(journal.toString("hex"));
    });

    void it("is written byte for byte by the same writes to a blank folder", async () => {
      const folder = blankFolder();
      const disk = await openDisk("journal", folder);
      for (const { changes } of commitsOf(journal)) await disk.write(changes);
      await disk.close();
      expect(readFileSync(join(folder, "journal")).toString("hex")).toEqual(journal.toString("hex"));
    });

    void it("is left as it is by an opening", async () => {
      const folder = join(copyOfFolders("journal"), node);
      await (await openDisk("journal", folder)).close();
      expect(readFileSync(join(folder, "journal")).toString("hex")).toEqual(journal.toString("hex"));
    });
  });
}
