import { spawnSync } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { open } from "lmdb";
import { expect } from "earl";
import { DiskRoom } from "./diskRoom.js";
import { LmdbDisk } from "./lmdbDisk.js";
import { ChecksummedDisk } from "./checksummedDisk.js";

const createFolder = (name: string): string => join(mkdtempSync(join(tmpdir(), "cranetrack-disk-")), name);

test("acknowledged writes are present after the process was killed", () => {
  const folder = createFolder("data");
  const program = `
    import { LmdbDisk } from ${JSON.stringify(new URL("./lmdbDisk.js", import.meta.url).href)};
    const disk = new LmdbDisk(${JSON.stringify(folder)});
    for (let i = 0; i < 50; i += 1) {
      await disk.write([{ key: "k/" + String(i).padStart(3, "0"), value: Buffer.from(String(i)) }]);
    }
    await disk.write([{ key: "k/000", isRemoved: true }]);
    process.kill(process.pid, "SIGKILL");`;
  const run = spawnSync(process.execPath, ["--input-type=module", "-e", program]);
  expect(run.signal).toEqual("SIGKILL");
  const read = new LmdbDisk(folder).read("k/");
  expect(read.map(({ value }) => Buffer.from(value).toString())).toEqual(
    Array.from({ length: 49 }, (_, i) => String(i + 1)),
  );
});

test("a write resolves only after the flush that covers it", async () => {
  const order: string[] = [];
  const root = open<Uint8Array, string>({ path: createFolder("order"), overlappingSync: true, noSubdir: false });
  let release = (): void => undefined;
  const flushed = new Promise<void>((resolve) => (release = resolve));
  const slow = new Proxy(root, {
    get: (target, key) =>
      key === "flushed" ? flushed.then(() => void order.push("flushed")) : (Reflect.get(target, key) as unknown),
  });
  const disk = LmdbDisk.over(slow);
  const written = disk.write([{ key: "a", value: Buffer.from("1") }]).then(() => void order.push("written"));
  await root.committed;
  order.push("committed");
  release();
  await written;
  expect(order).toEqual(["committed", "flushed", "written"]);
  await root.close();
});

test(
  "another program's data, a file instead of the folder and a damaged value are refused, " + "each with its reason",
  async () => {
    const foreign = createFolder("foreign");
    const other = open({ path: foreign, noSubdir: false });
    await other.put("x", "y");
    await other.close();
    expect(() => new LmdbDisk(foreign)).toThrow(/another program's data/);

    const garbage = createFolder("garbage");
    writeFileSync(garbage, "not a folder");
    expect(() => new LmdbDisk(garbage)).toThrow(/cannot be used/);

    const folder = createFolder("damaged");
    const disk = new LmdbDisk(folder);
    await new ChecksummedDisk(disk).write([{ key: "log/1", value: Buffer.from("hello") }]);
    const { value } = disk.read("log/")[0]!;
    value[5]! ^= 1;
    await disk.write([{ key: "log/1", value }]);
    expect(() => new ChecksummedDisk(disk).read("log/")).toThrow(/damaged at log\/1/);
  },
);

// Guards against Acks (review/6) in the other disk format.
test("a limited database says how full it is, makes writes wait beyond that, and goes on with room", async () => {
  const messages: string[] = [];
  const options = { maxBytes: 400_000, retryMs: 1, onFull: (text: string) => messages.push(text) };
  const disk = new LmdbDisk(createFolder("limited"), options);
  const value = Buffer.alloc(10_000, "x");
  let count = 0;
  for (; new DiskRoom(disk).hasReplicationRoom(value.length); count += 1)
    await disk.write([{ key: `log/${count}`, value }]);
  expect(count > 20).toEqual(true);
  for (let i = 0; i < 100; i += 1) await disk.write([{ key: "store/m", value: Buffer.alloc(100, `${i}`) }]);
  expect([messages, disk.fault]).toEqual([[], ""]);
  let isWritten = false;
  const waiting = disk.write([{ key: "more", value: Buffer.alloc(200_000) }]).then(() => (isWritten = true));
  await new Promise((resolve) => setTimeout(resolve, 20));
  expect([isWritten, messages.length, disk.fillShare(0) >= 1]).toEqual([false, 1, true]);
  const keys = Array.from({ length: count }, (_, i) => `log/${i}`);
  await Promise.all([waiting, disk.write(keys.map((key) => ({ key, isRemoved: true })))]);
  expect([disk.fault, disk.read("log/").length, disk.read("more")[0]?.value.length]).toEqual(["", 0, 200_000]);
  await disk.close();
});
