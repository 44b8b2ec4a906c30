import { mkdtempSync, rmSync, statSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { create } from "@bufbuild/protobuf";
import { EntrySchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { LogCompaction } from "@cranetrack/core/replication/logCompaction.js";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { JournalDisk } from "@cranetrack/core/storage/journalDisk.js";
import { ChecksummedDisk } from "@cranetrack/core/storage/checksummedDisk.js";
import { storeCompaction } from "@cranetrack/control/consensus/storeLog.js";

/** What `measureJournalGrowth` measured. */
export interface JournalGrowthReport {
  readonly changes: number;
  /** The largest size of the journal; a compaction needs room for the retained data in addition. */
  readonly maxJournalBytes: number;
  /** The largest increase of the process's resident memory over its initial value. */
  readonly maxResidentBytes: number;
  /** Whether the journal ever ran full, so that writes had to wait for room. */
  readonly wasFull: boolean;
}

/** Appends many large entries to the store's log on a real journal, limited to `maxBytes` as on a control machine. */
export async function measureJournalGrowth(
  changes: number,
  changeBytes: number,
  maxBytes: number,
): Promise<JournalGrowthReport> {
  const folder = mkdtempSync(join(tmpdir(), "cranetrack-journal-"));
  const initialResidentBytes = process.memoryUsage().rss;
  let wasFull = false;
  let maxJournalBytes = 0;
  let maxResidentBytes = 0;
  const journal = await JournalDisk.open(folder, { maxBytes, onFull: () => (wasFull = true) });
  try {
    const log = new ReplicaLog(new ChecksummedDisk(journal), "store");
    const compaction = new LogCompaction(log, storeCompaction);
    for (let index = 1; index <= changes && !wasFull; index += 1) {
      const entry = create(EntrySchema, { index, term: 1, data: Buffer.alloc(changeBytes, index % 256) });
      await log.append([entry]);
      compaction.recordApplied(entry);
      if (compaction.shouldCompact) await compaction.compact(index, Buffer.alloc(changeBytes));
      maxJournalBytes = Math.max(maxJournalBytes, statSync(join(folder, "journal")).size);
      maxResidentBytes = Math.max(maxResidentBytes, process.memoryUsage().rss - initialResidentBytes);
    }
    return { changes, maxJournalBytes, maxResidentBytes, wasFull };
  } finally {
    await journal.close();
    rmSync(folder, { recursive: true });
  }
}
