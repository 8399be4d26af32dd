import { connect, createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import type { Log, Meter } from '../core/interfaces/index.js';
import { ok } from '../core/result.js';
import { Secret } from '../core/configuration/index.js';
import { PeerCaller, PeerListener } from '../daemon/peers.js';

/** Cost of one JSON-RPC call over Node's HTTP on loopback, beyond its parameters and its result. */
export interface PeerCost {
  /** HTTP headers and JSON-RPC envelope of request and response, in bytes. */
  readonly requestBytes: number;
  readonly responseBytes: number;
  /** Processor time of caller and server together, in ms. */
  readonly processorMs: number;
}

const CALLS = 3_000;
const WARM_UP_CALLS = 500;

const QUIET: Log = { info: () => {}, warn: () => {}, error: () => {} };
const NO_METER: Meter = { count: () => {}, record: () => {}, gauge: () => {} };

/** Relay that counts the bytes of both directions. */
class CountingRelay {
  public upBytes = 0;

  public downBytes = 0;

  private server: Server | null = null;

  public async listen(target: string): Promise<string> {
    const [host, port] = target.split(':') as [string, string];
    this.server = createServer((socket) => {
      const upstream = connect(Number(port), host);
      socket.on('data', (chunk) => {
        this.upBytes += chunk.length;
        upstream.write(chunk);
      });
      upstream.on('data', (chunk) => {
        this.downBytes += chunk.length;
        socket.write(chunk);
      });
      for (const end of [socket, upstream]) {
        end.on('error', () => {});
        end.on('close', () => {
          socket.destroy();
          upstream.destroy();
        });
      }
    });
    await new Promise<void>((resolve) => {
      this.server!.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  public close(): void {
    this.server?.close();
  }
}

/** Measures with the real listener and caller; `payload` stands for the parameters and for the result. */
export async function measurePeerCost(payload: unknown): Promise<PeerCost> {
  const opts = { token: new Secret('token-of-the-control-bench'), log: QUIET, meter: NO_METER };
  const server = new PeerListener(opts);
  server.register('probe', async () => ok(payload));
  const listener = await server.listen('127.0.0.1:0');
  if (!listener.success) throw new Error(listener.error.message);
  const caller = new PeerCaller(opts);
  const relay = new CountingRelay();
  const relayed = await relay.listen(listener.data.address);
  const call = async (address: string): Promise<void> => {
    const result = await caller.call(address, 'probe', payload, { timeoutMs: 2_000 });
    if (!result.success) throw new Error(result.error.message);
  };
  await call(relayed);
  const bytes = Buffer.byteLength(JSON.stringify(payload));
  const requestBytes = relay.upBytes - bytes;
  const responseBytes = relay.downBytes - bytes;
  for (let index = 0; index < WARM_UP_CALLS; index += 1) await call(listener.data.address);
  const before = process.cpuUsage();
  for (let index = 0; index < CALLS; index += 1) await call(listener.data.address);
  const { user, system } = process.cpuUsage(before);
  await caller.close();
  relay.close();
  listener.data.destroy();
  return {
    requestBytes,
    responseBytes,
    processorMs: Math.round((user + system) / CALLS) / 1_000,
  };
}
