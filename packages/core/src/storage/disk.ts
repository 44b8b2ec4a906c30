/** Sets a key to a value, or removes it. */
export type DiskChange = { key: string; value: Uint8Array } | { key: string; isRemoved: true };

/**
 * Durable storage: an ordered map of keys to bytes.
 * Invariants: writes become durable in the order of the calls, each completely or not at all; `write` resolves only
 * once its changes would survive a power failure.
 */
export interface Disk {
  /** All keys with the prefix and their values, in order. Throws `DataFolderError` if a value is damaged. */
  read(prefix: string): Array<{ key: string; value: Uint8Array }>;
  /** Applies all changes atomically; resolves once they are durable. */
  write(changes: DiskChange[]): Promise<void>;
  /**
   * The share of the disk that is in use, or would be if `extraBytes` more were stored, with what is written now and
   * with the room that rewriting needs. Above 1 writes have to wait. A disk without this method has no limit.
   */
  fillShare?(extraBytes: number): number;
}
