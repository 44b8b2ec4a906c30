/** A key with its new value, or its removal. */
export type DiskChange = { key: string; value: Uint8Array } | { key: string; isRemoved: true };

/**
 * The disk seam: an ordered map of keys to bytes.
 * Invariants: writes become durable in the order they were asked for, each whole or not at all;
 * `write` resolves only once its changes would survive a loss of power.
 */
export interface Disk {
  /** Every key that begins with the prefix, in order. Throws `DataFolderError` where a value is damaged. */
  read(prefix: string): Array<{ key: string; value: Uint8Array }>;
  write(changes: DiskChange[]): Promise<void>;
}
