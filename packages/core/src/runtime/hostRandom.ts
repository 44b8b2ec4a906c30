import { randomBytes } from "node:crypto";
import type { RandomSource } from "./random.js";

/** Random values from the operating system. */
export class HostRandom implements RandomSource {
  draw(): number {
    return randomBytes(6).readUIntBE(0, 6) / 2 ** 48;
  }

  identity(): string {
    return randomBytes(10).toString("hex");
  }
}
