/** What an entry of the store's log is. */
export const entryKind = { command: 0, noop: 1, members: 2 } as const;
