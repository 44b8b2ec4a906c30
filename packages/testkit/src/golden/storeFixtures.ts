/** The golden file of the store's keys and values. */

/** A value of a codec: what was encoded, what its bytes are, and what is decoded from them. */
export interface ValueFixture {
  codec: string;
  input: object;
  /** Base64, like all bytes here. */
  bytes: string;
  decoded: unknown;
}

/** A large value in one of the forms in which it travels. */
export interface PackedFixture {
  form: string;
  packing: number;
  baseRevision: number;
  bytes: string;
}

/** What `store.json` holds. */
export interface StoreFixtures {
  /** The revision of the program that wrote it. */
  madeBy: string;
  values: ValueFixture[];
  packed: PackedFixture[];
  /** A transaction that puts a large value as a difference. */
  putOver: string;
  /** The files of an archive of two configurations, by path. */
  archive: Record<string, string>;
}

/** A configuration as an operator sent it, with white space, every field and the earlier word for an order. */
export const configurationText = `{ "mark": 41,
  "limits": {"subscriptions": 77, "payloadBytes": 4321},
  "spaces": [
    {"name": "orders", "prefix": "eu/orders/", "deadlineMs": 1500, "program": [
      {"when": {"topic": "all"}, "owe": {"keep": 60, "order": "topic", "fault_budget": {"machines": 1, "zones": 1},
        "publishers": ["till-*", "back"], "maxBytes": 2048}},
      {"when": {"topicPrefix": "x"}, "owe": {"keep": 0, "order": "sender", "fault_budget": {}}}]},
    {"name": "chat", "program": [{"when": {}, "owe": {"keep": 5, "order": "one", "fault_budget": {"machines": 2}}}]}
  ]}
`;

/** A later configuration: one space less. */
export const laterConfigurationText =
  `{"mark":42,"spaces":[{"name":"chat","program":[{"when":{},` +
  `"owe":{"keep":5,"order":"space","fault_budget":{}}}]}]}`;

/** A large value that neither packs badly nor well, and an earlier version of it. */
export function largeText(changed: string): string {
  const lines = Array.from({ length: 200 }, (_, line) => `line ${line}: ${(line * 7919) % 1009} of the value\n`);
  lines[120] = `${changed}\n`;
  return lines.join("");
}

/** The revision of the earlier version. */
export const baseRevision = 4711;

/** What is encoded by each codec. */
export const valueInputs: ReadonlyArray<readonly [codec: string, input: object]> = [
  [
    "incarnations",
    { configurationVersion: 41, spaces: { "eu/orders/": 7, "chat/": 41 }, endedPrefixes: { "chat/old/": 39 } },
  ],
  ["accepted versions floor", { version: 123456 }],
  ["accepted configuration", { text: configurationText }],
  ["accepted document", { text: `{"b": 1.0, "a": ["x", null]}` }],
  ["drain request", {}],
  ["drain request", { slowStartSeconds: 90 }],
  ["shard leader", { nodeName: "storage-ä", diskId: "d1", leaseId: "l1" }],
  [
    "replica set",
    {
      replicas: [
        { diskId: "d1", nodeName: "s1", zone: "north" },
        { diskId: "d2", nodeName: "s2", zone: "south" },
      ],
    },
  ],
  ["store voters", { voters: ["c1", "c2", "c3"] }],
  ["session owner", { nodeName: "edge-1", leaseId: "l7" }],
  ["subscription", { incarnation: "29-0123456789", sequence: 9007199254740 }],
];
