import { mkdirSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { describe, it } from "node:test";
import { inflateSync } from "node:zlib";
import { expect } from "earl";
import {
  decodeConfiguration,
  decodeConfigurationOutline,
  encodePutOver,
  nextEarlierIncarnations,
  nextIncarnations,
  openConfigurationArchive,
  packingNumbers,
  packValue,
  storedCodecs,
  storeKeys,
  unpackValue,
} from "./adapter.js";
import {
  baseRevision,
  configurationText,
  largeText,
  laterConfigurationText,
  valueInputs,
  type StoreFixtures,
} from "./storeFixtures.js";
import { fromBase64, readFixtures, toBase64 } from "./wireFixtures.js";

const fixtures = readFixtures("store") as StoreFixtures;
const value = Buffer.from(largeText("now"));
const base = { bytes: Buffer.from(largeText("before")), revision: baseRevision };

void describe("the store's keys", () => {
  const keys: ReadonlyArray<readonly [key: string, expected: string]> = [
    [storeKeys.configuration, "plan"],
    [storeKeys.incarnations, "plan/births"],
    [storeKeys.document, "documents/plan"],
    [storeKeys.acceptedPrefix, "documents/orders/"],
    [storeKeys.accepted(41), "documents/orders/0000000000000041"],
    [storeKeys.acceptedFloor, "documents/orders-floor"],
    [storeKeys.drainTurn, "drains"],
    [storeKeys.drain("machine-1"), "machines/machine-1/emptying"],
    [storeKeys.storeVoters, "members"],
    [storeKeys.shardLeader(7), "shards/7/holder"],
    [storeKeys.replicaSet(7), "shards/7/replicas"],
    [storeKeys.sessionOwner("s-1"), "sessions/s-1/owner"],
    [storeKeys.subscriptions("s-1"), "sessions/s-1/subscriptions/"],
    [storeKeys.subscription("s-1", "chat/room"), "sessions/s-1/subscriptions/chat/room"],
    [storeKeys.subscriptionLease("s-1"), "session:s-1"],
  ];
  for (const [key, expected] of keys) it(`has ${expected}`, () => expect(key).toEqual(expected));

  it("are read back", () => {
    expect(storeKeys.versionOfAccepted("documents/orders/0000000000000041")).toEqual(41);
    expect(storeKeys.machineOfDrain("machines/machine-1/emptying")).toEqual("machine-1");
    expect(storeKeys.sessionOfOwner("sessions/s-1/owner")).toEqual("s-1");
  });
});

void describe("stored values of revision ca00b7a", () => {
  it("are of every codec, and of the inputs written beside the script", () => {
    expect(fixtures.values.map(({ codec, input }) => [codec, input])).toEqual(valueInputs.map((one) => [...one]));
    expect([...new Set(valueInputs.map(([codec]) => codec))].sort()).toEqual(Object.keys(storedCodecs).sort());
  });

  // This release writes another record of incarnations, and reads that one for good.
  const isWritten = ({ codec }: { codec: string }): boolean => codec !== "incarnations";
  for (const { codec, input, bytes, decoded } of fixtures.values.filter(isWritten))
    it(`decodes and encodes: ${codec} ${JSON.stringify(input).slice(0, 40)}`, () => {
      expect(storedCodecs[codec]!.decode(fromBase64(bytes))).toEqual(decoded);
      expect(toBase64(storedCodecs[codec]!.encode(input))).toEqual(bytes);
    });

  it("decodes incarnations, whose streams keep their names", () => {
    const decoded = storedCodecs["incarnations"]!.decode(fromBase64(fixtures.values[0]!.bytes));
    const expected = {
      configurationVersion: 41,
      spaces: { "eu/orders/": 7, "chat/": 41 },
      nestedPrefixes: ["eu/orders/", "chat/"],
      streamRoots: { "eu/orders/": "eu/orders/", "chat/": "chat/" },
    };
    expect(decoded).toEqual(expected);
    const encoded = storedCodecs["incarnations"]!.encode(expected);
    expect(Buffer.from(encoded).toString()).toEqual(
      '{"mark":41,"spaces":{"eu/orders/":7,"chat/":41},"nested":["eu/orders/","chat/"],' +
        '"roots":{"eu/orders/":"eu/orders/","chat/":"chat/"}}',
    );
    expect(storedCodecs["incarnations"]!.decode(encoded)).toEqual(expected);
  });

  const texts: ReadonlyArray<readonly [index: number, text: string]> = [
    [0, '{"mark":41,"spaces":{"eu/orders/":7,"chat/":41},"ended":{"chat/old/":39}}'],
    [1, '{"version":123456}'],
    [4, "{}"],
    [5, '{"rampSeconds":90}'],
    [6, '{"name":"storage-ä","id":"d1","lease":"l1"}'],
    [7, '{"members":[{"id":"d1","name":"s1","zone":"north"},{"id":"d2","name":"s2","zone":"south"}]}'],
    [8, '{"voters":["c1","c2","c3"]}'],
    [9, '{"node":"edge-1","lease":"l7"}'],
    [10, "29-0123456789.9007199254740"],
  ];
  for (const [index, text] of texts)
    it(`is written as ${text.slice(0, 60)}`, () =>
      expect(Buffer.from(fixtures.values[index]!.bytes, "base64").toString()).toEqual(text));
});

void describe("a stored configuration", () => {
  it("is read with every field", () => {
    const rule = {
      topic: undefined,
      topicPrefix: undefined,
      machineFaults: undefined,
      zoneFaults: undefined,
      publishers: undefined,
      maxBytes: undefined,
    };
    expect(decodeConfiguration(configurationText)).toEqual({
      version: 41,
      limits: { subscriptions: 77, payloadBytes: 4321 },
      spaces: [
        {
          name: "orders",
          prefix: "eu/orders/",
          deadlineMs: 1500,
          rules: [
            {
              topic: "all",
              topicPrefix: undefined,
              retentionSeconds: 60,
              order: "topic",
              machineFaults: 1,
              zoneFaults: 1,
              publishers: ["till-*", "back"],
              maxBytes: 2048,
            },
            { ...rule, topicPrefix: "x", retentionSeconds: 0, order: "sender" },
          ],
        },
        {
          name: "chat",
          prefix: undefined,
          deadlineMs: undefined,
          rules: [{ ...rule, retentionSeconds: 5, order: "space", machineFaults: 2 }],
        },
      ],
    });
  });

  it("has an outline, and the incarnations that follow", () => {
    expect(decodeConfigurationOutline(Buffer.from(configurationText))).toEqual({
      version: 41,
      spaces: [
        { prefix: "eu/orders/", isOneStream: false },
        { prefix: "chat/", isOneStream: true },
      ],
    });
    const earlier = nextEarlierIncarnations(fromBase64(fixtures.values[0]!.bytes), Buffer.from(laterConfigurationText));
    expect(Buffer.from(earlier).toString()).toEqual('{"mark":42,"spaces":{"chat/":41},"ended":{}}');
    const next = nextIncarnations(fromBase64(fixtures.values[0]!.bytes), Buffer.from(laterConfigurationText));
    expect(Buffer.from(next).toString()).toEqual(
      '{"mark":42,"spaces":{"chat/":41},"nested":[],"roots":{"eu/orders/":"eu/orders/","chat/":"chat/"}}',
    );
  });
});

void describe("large values of revision ca00b7a", () => {
  const formOf = (name: string) => {
    const { packing, baseRevision: revision, bytes } = fixtures.packed.find(({ form }) => form === name)!;
    return { packing, baseRevision: revision, bytes: fromBase64(bytes) };
  };
  const plain = (bytes: unknown): string => Buffer.from(bytes as Uint8Array).toString();

  it("have these numbers of forms", () => {
    expect(packingNumbers).toEqual({ whole: 0, deflated: 1, difference: 2, omitted: 3 });
    expect(fixtures.packed.map(({ form, packing, baseRevision: revision }) => [form, packing, revision])).toEqual([
      ["as it is", 0, 0],
      ["deflated", 1, 0],
      ["another deflation", 1, 0],
      ["difference", 2, 4711],
      ["omitted", 3, 4711],
    ]);
  });

  it("unpack to what was packed", () => {
    expect(plain(unpackValue(formOf("as it is")))).toEqual("small");
    for (const form of ["deflated", "another deflation", "difference"])
      expect(plain(unpackValue(formOf(form), base))).toEqual(value.toString());
    expect(plain(unpackValue(formOf("omitted"), base))).toEqual(base.bytes.toString());
    expect(unpackValue(formOf("difference"), { ...base, revision: 4712 })).toEqual(undefined);
  });

  it("pack to the same bytes; a deflation, whose bytes are zlib's own affair, to the same form", () => {
    const difference = packValue(value, base);
    expect([difference.packing, difference.baseRevision, toBase64(difference.bytes)]).toEqual([
      2,
      4711,
      toBase64(formOf("difference").bytes),
    ]);
    const deflated = packValue(value);
    expect([deflated.packing, deflated.baseRevision]).toEqual([1, 0]);
    expect(plain(unpackValue(deflated))).toEqual(value.toString());
    expect(toBase64(packValue(Buffer.from("small")).bytes)).toEqual(toBase64(formOf("as it is").bytes));
  });

  it("are put as a difference by a client that knows an earlier version", () => {
    expect(toBase64(encodePutOver("plan", value, base))).toEqual(fixtures.putOver);
  });
});

void describe("an archive of configurations of revision ca00b7a", () => {
  /** The Git objects in a folder, without the times of commits and what depends on them. */
  function objectsIn(folder: string): string[] {
    const paths = readdirSync(join(folder, ".git/objects"), { recursive: true }) as string[];
    const objects = paths.filter((path) => /^..[/\\].{38}$/.test(path));
    return objects
      .map((path) => {
        const content = inflateSync(readFileSync(join(folder, ".git/objects", path))).toString("latin1");
        return content.startsWith("commit ")
          ? content
              .replace(/^parent .*\n/m, "")
              .replace(/^commit \d+/, "commit")
              .replace(/> \d+ [-+]\d{4}/g, ">")
          : content;
      })
      .sort();
  }

  function writeArchive(): string {
    const folder = mkdtempSync(join(tmpdir(), "cranetrack-golden-"));
    for (const [path, bytes] of Object.entries(fixtures.archive)) {
      mkdirSync(dirname(join(folder, path)), { recursive: true });
      writeFileSync(join(folder, path), fromBase64(bytes));
    }
    return folder;
  }

  it("is opened, read and carried on", async () => {
    const folder = writeArchive();
    const archive = openConfigurationArchive(folder);
    expect(await archive.versions()).toEqual([42, 41]);
    expect(readFileSync(join(folder, "plan.json"), "utf8")).toEqual(laterConfigurationText);
    await archive.put(42, laterConfigurationText);
    await archive.put(43, laterConfigurationText.replace("42", "43"));
    expect(await archive.versions()).toEqual([43, 42, 41]);
    rmSync(folder, { recursive: true });
  });

  it("is written again with the same objects", async () => {
    const [old, fresh] = [writeArchive(), mkdtempSync(join(tmpdir(), "cranetrack-golden-"))];
    const archive = openConfigurationArchive(fresh);
    await archive.put(41, configurationText);
    await archive.put(42, laterConfigurationText);
    expect(objectsIn(fresh)).toEqual(objectsIn(old));
    expect(objectsIn(old).length).toEqual(6);
    for (const folder of [old, fresh]) rmSync(folder, { recursive: true });
  });
});
