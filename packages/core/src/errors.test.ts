import { describe, it } from "node:test";
import { expect } from "earl";
import { DataFolderError, InvariantViolationError } from "./errors.js";

describe("DataFolderError", () => {
  it("says what was attempted, then why, and keeps the cause", () => {
    const cause = new Error("it holds 100 % of another program's data");
    const error = new DataFolderError("the data folder /x cannot be used", cause);
    expect(error.message).toEqual("the data folder /x cannot be used: it holds 100 % of another program's data");
    expect(error.cause()).toEqual(cause);
    expect([error.code, error.name]).toEqual(["data-folder", "DataFolderError"]);
    expect(error instanceof DataFolderError && error instanceof Error).toEqual(true);
  });

  it("takes a text with a percent sign as it is, with or without a cause", () => {
    expect(new DataFolderError("the data folder is damaged at 5%s").message).toEqual(
      "the data folder is damaged at 5%s",
    );
  });
});

describe("InvariantViolationError", () => {
  it("says which invariant is broken", () => {
    const error = new InvariantViolationError("store got entry 5 behind 3");
    expect(error.message).toEqual("broken invariant: store got entry 5 behind 3");
    expect(error.code).toEqual("invariant-violation");
  });
});
