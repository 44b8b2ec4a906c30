import { randomBytes } from "node:crypto";
import type { Chance } from "./chance.js";

export class HostChance implements Chance {
  draw(): number {
    return randomBytes(6).readUIntBE(0, 6) / 2 ** 48;
  }

  identity(): string {
    return randomBytes(10).toString("hex");
  }
}
