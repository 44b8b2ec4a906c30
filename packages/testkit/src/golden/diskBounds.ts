/** Loaded into the programs before they start when golden data folders are made: snapshots after a few entries. */
import { lowerSnapshotBounds } from "./diskAdapter.js";

lowerSnapshotBounds();
