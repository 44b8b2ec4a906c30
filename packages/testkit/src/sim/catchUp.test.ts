import { test } from "node:test";
import { SnapshotSender } from "@cranetrack/core/replication/snapshotSender.js";
import { storeCompaction } from "@cranetrack/control/consensus/storeLog.js";
import { expect } from "earl";
import { CatchUp, type ReturnMode } from "./catchUp.js";

const mib = 1024 * 1024;
const documentBytes = 256 * 1024;
/** From the start of a successor on, a second loss is allowed after this time on the small deployments. */
const syncMs = 4100;

for (const comeback of ["restarted", "blank", "new"] as ReturnMode[])
  test(`a ${comeback} member is caught up in time after many big changes, which go on, within bounds`, async () => {
    const report = await CatchUp.run({ seed: 5, comeback, changes: 150, routes: 0, documentBytes });
    expect(report.caughtUpMs !== undefined && report.caughtUpMs <= syncMs).toEqual(true);
    // The log between two snapshots, the tail, the entry at its base, and the snapshot with what is not applied yet.
    const logBytes = storeCompaction.bytes + storeCompaction.kept.bytes + documentBytes;
    expect(report.diskBytes <= logBytes + 2 * mib).toEqual(true);
    // A snapshot and at most the log behind it; what the changes add meanwhile is bounded by the time.
    const changed = Math.ceil(report.caughtUpMs! / CatchUp.changeIntervalMs) * documentBytes;
    expect(report.bytes.pieces + report.bytes.appends <= logBytes + 2 * mib + 2 * changed).toEqual(true);
    expect(report.longestPiece <= SnapshotSender.pieceBytes + 1024).toEqual(true);
    expect(report.bytes.pieces > 0).toEqual(true);
  });
