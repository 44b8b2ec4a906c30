// A buf plugin: writes a function that encodes and one that decodes for each message of the protocol. Their bytes are
// those of protobuf-es, whose own functions go through reflection for each field.
import { ScalarType } from "@bufbuild/protobuf";
import { createEcmaScriptPlugin, runNodeJs } from "@bufbuild/protoplugin";

const wireType = { varint: 0, bit64: 1, lengthDelimited: 2 };

/** Of each scalar type that the protocol uses: the writer's and reader's method, its zero, and its wire type. */
const scalars = new Map([
  [ScalarType.DOUBLE, { method: "double", zero: "0", wireType: wireType.bit64 }],
  [ScalarType.UINT32, { method: "uint32", zero: "0", wireType: wireType.varint }],
  [ScalarType.BOOL, { method: "bool", zero: "false", wireType: wireType.varint }],
  [ScalarType.STRING, { method: "string", zero: '""', wireType: wireType.lengthDelimited }],
  [ScalarType.BYTES, { method: "bytes", zero: "emptyBytes", wireType: wireType.lengthDelimited }],
]);

const tagOf = (field, type) => (field.number << 3) | type;

function scalarOf(field) {
  const scalar = scalars.get(field.scalar);
  if (scalar === undefined) throw new Error(`${field.parent.typeName}.${field.name}: a type that codecs don't know`);
  return scalar;
}

/** Members of a message, a oneof once, in the order of their first numbers; fields of a oneof come one at a time. */
function membersOf(message) {
  return [...message.members].sort((a, b) => (a.fields?.[0] ?? a).number - (b.fields?.[0] ?? b).number);
}

function writeMessage(field, value) {
  const tag = tagOf(field, wireType.lengthDelimited);
  return `encode${field.message.name}(${value}, writer.uint32(${tag}).fork()).ldelim();`;
}

function writeScalar(field, value) {
  const { method, wireType: type } = scalarOf(field);
  return `writer.uint32(${tagOf(field, type)}).${method}(${value});`;
}

function* encodeMember(member) {
  const value = `message.${member.localName}`;
  if (member.kind === "oneof") {
    yield `  switch (${value}?.case) {`;
    for (const field of member.fields) {
      yield `    case "${field.localName}":`;
      yield `      ${writeMessage(field, `${value}.value`)}`;
      yield "      break;";
    }
    yield "  }";
  } else if (member.fieldKind === "list" && member.listKind === "message") {
    yield `  if (${value} !== undefined) for (const one of ${value}) ${writeMessage(member, "one")}`;
  } else if (member.fieldKind === "list" && scalarOf(member).wireType === wireType.lengthDelimited) {
    yield `  if (${value} !== undefined) for (const one of ${value}) ${writeScalar(member, "one")}`;
  } else if (member.fieldKind === "list") {
    yield `  if (${value} !== undefined && ${value}.length > 0) {`;
    yield `    writer.uint32(${tagOf(member, wireType.lengthDelimited)}).fork();`;
    yield `    for (const one of ${value}) writer.${scalarOf(member).method}(one);`;
    yield "    writer.ldelim();";
    yield "  }";
  } else if (member.fieldKind === "message") {
    yield `  if (${value} !== undefined) ${writeMessage(member, value)}`;
  } else if (member.scalar === ScalarType.BYTES) {
    yield `  if (${value} !== undefined && ${value}.length > 0) ${writeScalar(member, value)}`;
  } else {
    yield `  if (${value}) ${writeScalar(member, value)}`;
  }
}

/** Named values of a message without anything in it. */
function* zeroOf(member) {
  if (member.kind === "oneof") yield `    ${member.localName}: { case: undefined },`;
  else if (member.fieldKind === "list") yield `    ${member.localName}: [],`;
  else if (member.fieldKind === "scalar") yield `    ${member.localName}: ${scalarOf(member).zero},`;
}

function* decodeField(field) {
  const value = `message.${field.localName}`;
  const isMessage = field.message !== undefined;
  const read = isMessage ? `decode${field.message.name}(reader, endOf(reader))` : `reader.${scalarOf(field).method}()`;
  const type = isMessage ? wireType.lengthDelimited : scalarOf(field).wireType;
  yield `      case ${tagOf(field, type)}:`;
  const inOneof = `{ case: "${field.localName}", value: ${read} }`;
  if (field.oneof !== undefined) yield `        message.${field.oneof.localName} = ${inOneof};`;
  else if (field.fieldKind === "list") yield `        ${value}.push(${read});`;
  else yield `        ${value} = ${read};`;
  yield "        break;";
  if (field.fieldKind !== "list" || type === wireType.lengthDelimited) return;
  yield `      case ${tagOf(field, wireType.lengthDelimited)}:`;
  yield `        for (const end = endOf(reader); reader.pos < end; ) ${value}.push(${read});`;
  yield "        break;";
}

function* messageCodec(message) {
  const { name } = message;
  yield "";
  const parameter = message.members.length === 0 ? "_message" : "message";
  const shape = `MessageInitShape<typeof messages.${name}Schema>`;
  yield `function encode${name}(${parameter}: ${shape}, writer: Writer): Writer {`;
  for (const member of membersOf(message)) yield* encodeMember(member);
  yield "  return writer;";
  yield "}";
  yield "";
  yield `function decode${name}(reader: Reader, end: number): messages.${name} {`;
  yield `  const message: messages.${name} = {`;
  yield `    $typeName: "${message.typeName}",`;
  for (const member of message.members) yield* zeroOf(member);
  yield "  };";
  yield "  while (reader.pos < end) {";
  yield "    const tag = reader.uint32();";
  yield "    switch (tag) {";
  for (const field of message.fields) yield* decodeField(field);
  yield "      default:";
  yield "        reader.skipType(tag & 7);";
  yield "    }";
  yield "  }";
  yield "  return message;";
  yield "}";
}

const plugin = createEcmaScriptPlugin({
  name: "protoc-gen-codec",
  version: "1",
  generateTs(schema) {
    for (const file of schema.files) {
      const output = schema.generateFile(`${file.name}_codec.ts`);
      output.print("// Generated by scripts/protocGenCodec.mjs; not to be edited.");
      output.print("/* eslint-disable */");
      output.print('import type { MessageInitShape } from "@bufbuild/protobuf";');
      output.print('import { emptyBytes, endOf, type Codecs, type Reader, type Writer } from "../rpc/codecParts.js";');
      output.print(`import type * as messages from "./${file.name}_pb.js";`);
      for (const message of file.messages) for (const line of messageCodec(message)) output.print(line);
      output.print("");
      output.print("/** By the full name of each message. */");
      output.print("export const codecs: Codecs = {");
      for (const { name, typeName } of file.messages)
        output.print(`  "${typeName}": { encode: encode${name}, decode: decode${name} },`);
      output.print("};");
    }
  },
});

runNodeJs(plugin);
