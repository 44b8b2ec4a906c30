/**
 * The product as the golden tests of the wire and the store see it: stable names for symbols that may be renamed.
 * This is the only file under `golden/` for the wire and the store that follows a rename; the fixtures and tests stay.
 */
import { create, fromBinary, toBinary, type DescMessage, type Message } from "@bufbuild/protobuf";
import { entryKind } from "@cranetrack/control/consensus/storeLog.js";
import { contentDigestOf } from "@cranetrack/control/configuration/decideConfigurationChange.js";
import { ConfigurationArchive } from "@cranetrack/control/configuration/configurationArchive.js";
import { contentDigest, contentKind } from "@cranetrack/core/configuration/contentDigest.js";
import { ConfigurationReader } from "@cranetrack/core/configuration/configurationReader.js";
import { ConfigurationView } from "@cranetrack/core/configuration/configurationView.js";
import { Streams } from "@cranetrack/core/configuration/streams.js";
import { ChangeJournal } from "@cranetrack/core/feeds/changeJournal.js";
import type { Change } from "@cranetrack/core/feeds/feedFollower.js";
import * as messages from "@cranetrack/core/gen/cranetrack_pb.js";
import { AcceptedChangeKey } from "@cranetrack/core/keys/acceptedChangeKey.js";
import { EarlierIncarnations } from "@cranetrack/core/keys/earlierIncarnations.js";
import { IncarnationsKey } from "@cranetrack/core/keys/incarnationsKey.js";
import { ConfigurationKey } from "@cranetrack/core/keys/configurationKey.js";
import { DocumentKey } from "@cranetrack/core/keys/documentKey.js";
import { DrainKey } from "@cranetrack/core/keys/drainKey.js";
import { ShardLeaderKey } from "@cranetrack/core/keys/shardLeaderKey.js";
import { MembersKey } from "@cranetrack/core/keys/membersKey.js";
import { ReplicasKey } from "@cranetrack/core/keys/replicasKey.js";
import { Rendezvous, RendezvousKeys } from "@cranetrack/core/membership/rendezvous.js";
import { logGroupNames } from "@cranetrack/core/replication/logGroups.js";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";
import { LargeValues } from "@cranetrack/core/store/largeValues.js";
import { PackedValue, packing } from "@cranetrack/core/store/packedValue.js";
import { OwnerKey } from "@cranetrack/core/keys/ownerKey.js";
import { SubscriptionKey } from "@cranetrack/edge/subscriptions/subscriptionKey.js";
import { SimRandom } from "../sim/simRandom.js";

type Frame = messages.Frame;

/** The message that travels between processes; its kinds are the members of its only oneof. */
export const frameSchema: DescMessage = messages.FrameSchema;

/** Messages that rest in logs and snapshots, by a stable name. */
export const storedSchemas: Readonly<Record<string, DescMessage>> = {
  "log entry": messages.EntrySchema,
  "log snapshot": messages.SnapshotSchema,
  "store command": messages.StoreCommandSchema,
  "store snapshot": messages.StoreSnapshotSchema,
  "store members": messages.MembersSchema,
  "store lease": messages.LeaseRecordSchema,
  "shard command": messages.ShardCommandSchema,
  "shard snapshot": messages.ShardSnapshotSchema,
};

/** A frame as it travels: behind its checksum. */
export function encodeFrame(frame: Message): Uint8Array {
  return Wire.encode(frame as Frame);
}

/** The same for a frame that was decoded before and is forwarded. */
export function encodeForwardedFrame(frame: Message): Uint8Array {
  return Wire.encodeForwarded(frame as Frame);
}

/** Undefined where the bytes are no frame. */
export function decodeFrame(bytes: Uint8Array): Message | undefined {
  return Wire.decode(bytes);
}

/** The bytes without sender, receiver and sender's address, which the frames of a connection share. */
export function withoutEnvelope(bytes: Uint8Array): Uint8Array | undefined {
  const range = Wire.envelopeRange(bytes);
  return range === undefined ? undefined : Wire.stripEnvelope(bytes, range);
}

/** Decodes what `withoutEnvelope` gave, with the envelope of an earlier frame of the connection. */
export function decodeWithEnvelopeOf(bytes: Uint8Array, earlier: Uint8Array): Message | undefined {
  return Wire.decode(bytes, Wire.decode(earlier));
}

/** A stored message's bytes, as the product writes them. */
export function encodeStoredMessage(schema: DescMessage, message: Message): Uint8Array {
  return toBinary(schema, create(schema, message));
}

/** The stored message in the bytes. */
export function decodeStoredMessage(schema: DescMessage, bytes: Uint8Array): Message {
  return fromBinary(schema, bytes);
}

/** A stored value's codec: the product's record is translated to and from stable names. */
export interface StoredCodec {
  encode(value: object): Uint8Array;
  decode(bytes: Uint8Array): unknown;
}

interface StableIncarnations {
  configurationVersion: number;
  /** Of spaces that are one stream; in a record of an earlier release, of all. */
  spaces: Record<string, number>;
  nestedPrefixes: string[];
  /** By prefix, what streams of an earlier release are named after. */
  streamRoots: Record<string, string>;
}
interface StableLeader {
  nodeName: string;
  diskId: string;
  leaseId: string;
}
interface StableReplica {
  diskId: string;
  nodeName: string;
  zone: string;
}
interface StableCursor {
  incarnation: string;
  sequence: number;
}

/** The codecs of the store's values by a stable name. */
export const storedCodecs: Readonly<Record<string, StoredCodec>> = {
  incarnations: {
    encode: (value: StableIncarnations) =>
      IncarnationsKey.write({
        version: value.configurationVersion,
        spaces: value.spaces,
        nested: value.nestedPrefixes,
        roots: value.streamRoots,
      }),
    decode(bytes) {
      const record = IncarnationsKey.read(bytes)!;
      return {
        configurationVersion: record.version,
        spaces: { ...record.spaces },
        nestedPrefixes: [...record.nested],
        streamRoots: { ...record.roots },
      } satisfies StableIncarnations;
    },
  },
  "accepted versions floor": {
    encode: ({ version }: { version: number }) => AcceptedChangeKey.writeFloor(version),
    decode: (bytes) => ({ version: AcceptedChangeKey.readFloor(bytes) }),
  },
  "accepted configuration": {
    encode: ({ text }: { text: string }) =>
      contentDigestOf({ version: 7, body: Buffer.from(text), document: undefined }),
    decode: (bytes) => Buffer.from(bytes).toString("hex"),
  },
  "accepted document": {
    encode: ({ text }: { text: string }) =>
      contentDigestOf({ version: 7, body: Buffer.from("{}"), document: Buffer.from(text) }),
    decode: (bytes) => Buffer.from(bytes).toString("hex"),
  },
  "drain request": {
    encode: ({ slowStartSeconds }: { slowStartSeconds?: number }) => DrainKey.write(slowStartSeconds),
    decode: (bytes) => ({ text: Buffer.from(bytes).toString() }),
  },
  "shard leader": {
    encode: ({ nodeName, diskId, leaseId }: StableLeader) =>
      ShardLeaderKey.write({ name: nodeName, id: diskId, lease: leaseId }),
    decode(bytes) {
      const { name, id, lease } = ShardLeaderKey.read(bytes)!;
      return { nodeName: name, diskId: id, leaseId: lease } satisfies StableLeader;
    },
  },
  "replica set": {
    encode: ({ replicas }: { replicas: StableReplica[] }) =>
      ReplicasKey.write({
        members: replicas.map(({ diskId, nodeName, zone }) => ({ id: diskId, name: nodeName, zone })),
      }),
    decode(bytes) {
      const { members } = ReplicasKey.read(bytes)!;
      return { replicas: members.map(({ id, name, zone }) => ({ diskId: id, nodeName: name, zone })) };
    },
  },
  "store voters": {
    encode: ({ voters }: { voters: string[] }) => MembersKey.write({ voters }),
    decode: (bytes) => ({ voters: MembersKey.read(bytes)!.voters }),
  },
  "session owner": {
    encode: ({ nodeName, leaseId }: { nodeName: string; leaseId: string }) =>
      OwnerKey.write({ node: nodeName, lease: leaseId }),
    decode(bytes) {
      const { node, lease } = OwnerKey.read(bytes)!;
      return { nodeName: node, leaseId: lease };
    },
  },
  subscription: {
    encode: ({ incarnation, sequence }: StableCursor) => SubscriptionKey.write({ incarnation, seq: sequence }),
    decode(bytes) {
      const { incarnation, seq } = SubscriptionKey.read(bytes)!;
      return { incarnation: incarnation, sequence: seq } satisfies StableCursor;
    },
  },
};

/** What the product reads in a stored configuration, under stable names. */
export function decodeConfiguration(text: string): unknown {
  const read = ConfigurationReader.parse(text);
  if (!("configuration" in read)) throw new Error(`no configuration: ${JSON.stringify(read.faults)}`);
  const { version, spaces, limits } = read.configuration;
  return {
    version: version,
    limits: { subscriptions: limits?.subscriptions, payloadBytes: limits?.payloadBytes },
    spaces: spaces.map(({ name, prefix, deadlineMs, program }) => ({
      name,
      prefix,
      deadlineMs,
      rules: program.map(({ when, contract }) => ({
        topic: when.topic,
        topicPrefix: when.topicPrefix,
        retentionSeconds: contract.keep,
        order: contract.order,
        machineFaults: contract.fault_budget.machines,
        zoneFaults: contract.fault_budget.zones,
        publishers: contract.publishers,
        maxBytes: contract.maxBytes,
      })),
    })),
  };
}

/** What the store reads in a configuration whose contracts it need not know. */
export function decodeConfigurationOutline(bytes: Uint8Array): unknown {
  const { version, spaces } = ConfigurationKey.outline(bytes)!;
  return {
    version: version,
    spaces: spaces.map(({ prefix, isSingleStream: isWhole }) => ({ prefix, isOneStream: isWhole })),
  };
}

/** The incarnations that follow on earlier ones when a configuration is put. */
export function nextIncarnations(before: Uint8Array, configuration: Uint8Array): Uint8Array {
  return IncarnationsKey.write(
    IncarnationsKey.next(IncarnationsKey.read(before), ConfigurationKey.outline(configuration)!),
  );
}

/** The same by an entry that an earlier release proposed. */
export function nextEarlierIncarnations(before: Uint8Array, configuration: Uint8Array): Uint8Array {
  return EarlierIncarnations.next(before, ConfigurationKey.outline(configuration)!);
}

/** The store's keys, and what is read in them. */
export const storeKeys = {
  configuration: ConfigurationKey.name,
  incarnations: IncarnationsKey.name,
  document: DocumentKey.name,
  acceptedPrefix: AcceptedChangeKey.prefix,
  acceptedFloor: AcceptedChangeKey.floorKey,
  drainTurn: DrainKey.requestsKey,
  storeVoters: MembersKey.name,
  accepted: (version: number): string => AcceptedChangeKey.of(version),
  versionOfAccepted: (key: string): number | undefined => AcceptedChangeKey.versionOf(key),
  drain: (machine: string): string => DrainKey.of(machine),
  machineOfDrain: (key: string): string | undefined => DrainKey.machineOf(key),
  shardLeader: (shard: number): string => ShardLeaderKey.of(shard),
  replicaSet: (shard: number): string => ReplicasKey.of(shard),
  sessionOwner: (session: string): string => OwnerKey.of(session),
  sessionOfOwner: (key: string): string | undefined => OwnerKey.sessionOf(key),
  subscriptions: (session: string): string => SubscriptionKey.prefix(session),
  subscription: (session: string, topic: string): string => SubscriptionKey.of(session, topic),
  subscriptionLease: (session: string): string => SubscriptionKey.leaseOf(session),
};

/** How a large value travels, by number. */
export const packingNumbers = {
  whole: packing.none,
  deflated: packing.deflated,
  difference: packing.difference,
  omitted: packing.omitted,
};

/** A value in one of the forms that large values travel in. */
export interface StablePacked {
  packing: number;
  baseRevision: number;
  bytes: Uint8Array;
}

export interface StableVersion {
  bytes: Uint8Array;
  revision: number;
}

/** The smallest form of a value for a receiver that has the base. */
export function packValue(value: Uint8Array, base?: StableVersion): StablePacked {
  const packed = PackedValue.pack(value, base && { value: base.bytes, revision: base.revision });
  return { packing: packed.packing, baseRevision: packed.baseRevision, bytes: packed.value };
}

/** Undefined where the base is not the one that the form needs. */
export function unpackValue({ packing: form, baseRevision, bytes }: StablePacked, base?: StableVersion): unknown {
  return PackedValue.unpack(
    { value: bytes, packing: form, baseRevision },
    base && { value: base.bytes, revision: base.revision },
  );
}

/** The bytes of a transaction that puts a value, from a client that knows an earlier version of it. */
export function encodePutOver(key: string, value: Uint8Array, base: StableVersion): Uint8Array {
  const known = new LargeValues();
  known.written({ puts: [{ key, value: base.bytes }] }, base.revision);
  return toBinary(messages.TxnSchema, known.pack({ puts: [{ key, value }] }));
}

/** An archive of accepted configurations in a folder; `put` commits one. */
export function openConfigurationArchive(folder: string): {
  put(version: number, text: string): Promise<void>;
  versions(): Promise<number[]>;
} {
  const journal = new ChangeJournal<Change>();
  const archive = new ConfigurationArchive(
    folder,
    new ConfigurationView(journal),
    new LogBuffer("golden", () => undefined),
  );
  return {
    async put(version, text) {
      const incarnations = IncarnationsKey.write({ version, spaces: {} });
      journal.append({ key: IncarnationsKey.name, value: incarnations, revision: version });
      journal.append({ key: ConfigurationKey.name, value: Buffer.from(text), revision: version });
      await archive.whenIdle();
    },
    versions: () => archive.versions(),
  };
}

/** The keys under which nodes are ranked, by duty. */
export const rankingKeys = {
  shardLeader: (shard: number): string => RendezvousKeys.shardLeader(shard),
  replicaSetCreation: (shard: number): string => RendezvousKeys.replicaSetCreation(shard),
  replicaSet: (shard: number): string => RendezvousKeys.replicaSet(shard),
  nearbyReplica: (edgeName: string): string => RendezvousKeys.nearbyReplica(edgeName),
  gossipPartners: (nodeName: string): string => RendezvousKeys.gossipPartners(nodeName),
  storeVoter: RendezvousKeys.storeVoter as string,
  electionAfter: (term: number): string => RendezvousKeys.electionAfter(term),
};

/** Rankings of nodes under a key, and the shard of a stream. */
export const ranking = {
  rank: (key: string, names: readonly string[]): string[] => Rendezvous.rank(key, names),
  weight: (key: string, name: string): number => Rendezvous.weigh(key, name),
  nearest: (key: string, zone: string, nodes: ReadonlyArray<{ name: string; zone: string }>): string[] =>
    Rendezvous.nearest(key, zone, nodes),
  acrossZones: (key: string, nodes: ReadonlyArray<{ name: string; zone: string }>, count: number): string[] =>
    Rendezvous.choose(key, nodes, count),
  shardOf: (stream: string, shards: number): number => Rendezvous.shardOf(stream, shards),
};

/** The kinds of content that a digest begins with. */
export const digestKinds = { configuration: contentKind.configuration, document: contentKind.document };

/** A content's digest, hexadecimal. */
export function digestText(kind: keyof typeof digestKinds, text: string): string {
  return Buffer.from(contentDigest(digestKinds[kind], Buffer.from(text))).toString("hex");
}

/** Names of streams and of their incarnations. */
export const streamNames = {
  ofTopic: (prefix: string, topic: string): string => Streams.of(prefix, topic, "topic"),
  ofSender: (prefix: string, topic: string): string => Streams.of(prefix, topic, "sender"),
  ofSpace: (prefix: string, topic: string): string => Streams.of(prefix, topic, "space"),
  prefixOf: (stream: string): string => Streams.rootOf(stream),
  incarnation: (spaceIncarnation: number, identity: string): string => Streams.incarnation(spaceIncarnation, identity),
  spaceIncarnationOf: (incarnation: string): number => Streams.spaceIncarnationOf(incarnation),
};

/** Draws and identities of the simulator's seeded generator. */
export function seededDraws(seed: number): { draws: number[]; identity: string; forkedIdentity: string } {
  const random = new SimRandom(seed);
  const draws = [random.draw(), random.draw(), random.draw()];
  return { draws, identity: random.identity(), forkedIdentity: random.fork().identity() };
}

/** The kinds of entries in the store's log, by number. */
export const logEntryKinds = { command: entryKind.command, empty: entryKind.noop, members: entryKind.members };

/** The names of replicated logs, on the wire and before their keys on the disk. */
export const logNames = { store: logGroupNames.store as string, shard: (shard: number) => logGroupNames.shard(shard) };
