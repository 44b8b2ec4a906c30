import { once } from "node:events";
import { createServer } from "node:net";
import { RpcEndpoint } from "@cranetrack/core/rpc/rpcEndpoint.js";
import { HostRandom } from "@cranetrack/core/runtime/hostRandom.js";
import { HostClock } from "@cranetrack/core/runtime/hostClock.js";
import { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";
import { TcpTransport } from "@cranetrack/core/transport/tcpTransport.js";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import { Scenario } from "../sim/scenario.js";
import { SimFleet } from "../sim/simFleet.js";

export interface IdleCost {
  nodes: number;
  bytesPerNodeSecond: number;
  framesPerNodeSecond: number;
  /** Bytes a second of all nodes, by kind of frame. */
  kinds: Record<string, number>;
}
export interface CallCost {
  calls: number;
  atOnce: number;
  /** Of both ends, which are in one process. */
  processorMicroseconds: number;
  wallMicroseconds: number;
  bytes: number;
}

/** What processes cost one another, idle and by the call. */
export const Cost = {
  /** By whole frames, as the simulator carries them; a held connection leaves out the envelopes. */
  async idle(edgeCount: number, seconds = 10, shards = 4, stabilizeMs = 10_000): Promise<IdleCost> {
    const fleet = new SimFleet(7, Scenario.machines(3, 3, edgeCount), shards);
    fleet.startAll();
    await fleet.run(stabilizeMs);
    const kinds: Record<string, number> = {};
    const sum = { bytes: 0, frames: 0 };
    fleet.wires.mutate = (_from, _to, bytes) => {
      const kind = Wire.decode(bytes)?.body.case ?? "";
      kinds[kind] = (kinds[kind] ?? 0) + bytes.length / seconds;
      sum.bytes += bytes.length;
      sum.frames += 1;
      return undefined;
    };
    await fleet.run(seconds * 1000);
    const each = (value: number): number => Math.round((10 * value) / seconds / fleet.names.length) / 10;
    const rounded = Object.entries(kinds).map(([kind, bytes]) => [kind, Math.round(bytes)]);
    return {
      nodes: fleet.names.length,
      bytesPerNodeSecond: each(sum.bytes),
      framesPerNodeSecond: each(sum.frames),
      kinds: Object.fromEntries(rounded) as Record<string, number>,
    };
  },

  /** Small calls over loopback, with both ends in this process. */
  async calls(calls: number, atOnce: number): Promise<CallCost> {
    const log = new LogBuffer("cost", () => undefined);
    const nets = [new TcpTransport(await freeAddress(), log), new TcpTransport(await freeAddress(), log)] as const;
    const [asking, answering] = nets.map((transport, i) => {
      const rpc = new RpcEndpoint(`vise-${i + 1}`, transport, new HostClock(), new HostRandom());
      rpc.addressOf = (name) => nets[Number(name.slice(5)) - 1]!.address;
      return rpc;
    }) as [RpcEndpoint, RpcEndpoint];
    answering.serve("ping", () => ({ case: "done", value: {} }));
    await Promise.all(nets.map((transport) => transport.listen()));
    const play = async (count: number): Promise<void> => {
      const one = async (): Promise<void> => {
        for (let i = 0; i < count / atOnce; i += 1)
          await asking.call("vise-2", { case: "ping", value: { about: "a small call" } }, 1000);
      };
      await Promise.all(Array.from({ length: atOnce }, one));
    };
    await play(calls / 4);
    const [wall, cpu] = [performance.now(), process.cpuUsage()];
    await play(calls);
    const used = process.cpuUsage(cpu);
    const tookMs = performance.now() - wall;
    const bytes = Wire.encode({
      id: 1,
      from: "vise-1",
      to: "vise-2",
      fromAddress: nets[0].address,
      body: { case: "ping", value: { about: "a small call" } },
    }).length;
    for (const transport of nets) transport.close();
    const each = (value: number): number => Math.round((10 * value) / calls) / 10;
    return {
      calls,
      atOnce,
      processorMicroseconds: each(used.user + used.system),
      wallMicroseconds: each(tookMs * 1000),
      bytes,
    };
  },
};

async function freeAddress(): Promise<string> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as { port: number };
  server.close();
  await once(server, "close");
  return `127.0.0.1:${port}`;
}
