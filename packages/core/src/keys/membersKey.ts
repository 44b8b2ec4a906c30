import { JsonValue } from "./jsonValue.js";

/** The machines that vote in the metadata store. */
export interface VotersRecord {
  voters: string[];
}

/**
 * A key that is not stored: the leader answers a read of it, confirmed like any other, from the membership of the
 * metadata store. During a change of members it lists all machines that vote before, during or after the change.
 */
export const MembersKey = {
  name: "members",

  write(record: VotersRecord): Uint8Array {
    return JsonValue.write(record);
  },

  read(value: Uint8Array): VotersRecord | undefined {
    const voters = JsonValue.read(value)?.["voters"];
    if (!Array.isArray(voters) || !voters.every((voter) => typeof voter === "string")) return undefined;
    return { voters };
  },
};
