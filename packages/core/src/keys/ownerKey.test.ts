import { test } from "node:test";
import { expect } from "earl";
import { OwnerKey } from "./ownerKey.js";

test("the value of an owner key is read back as written, and invalid ones are rejected", () => {
  const owner = { node: "vise-1", lease: "l1" };
  expect(OwnerKey.read(OwnerKey.write(owner))).toEqual(owner);
  for (const broken of ["", "{", "null", "[]", "{}", '{"node":"a"}', '{"node":"a","lease":1}', '["node","lease"]'])
    expect(OwnerKey.read(Buffer.from(broken))).toEqual(undefined);
});
