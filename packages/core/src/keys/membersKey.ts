import { JsonValue } from "./jsonValue.js";

/** Who votes in the metadata store, by machine. */
export interface VotersRecord {
  voters: string[];
}

/**
 * A key that is in no log: a read of it, confirmed like any other, is answered by the leader from the configuration of
 * the store's members. While that is being changed it names all who vote before, meanwhile or after.
 */
export const MembersKey = {
  name: "members",

  write(record: VotersRecord): Uint8Array {
    return JsonValue.write(record);
  },

  read(value: Uint8Array): VotersRecord | undefined {
    const voters = JsonValue.read(value)?.["voters"];
    if (!Array.isArray(voters) || !voters.every((one) => typeof one === "string")) return undefined;
    return { voters };
  },
};
