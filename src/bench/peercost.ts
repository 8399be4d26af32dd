import { connect, createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import type { Log, Meter } from '../core/interfaces/index.js';
import { ok } from '../core/result.js';
import { Secret } from '../core/configuration/index.js';
import { HttpPeerClient, PeerListener } from '../daemon/peers.js';

/** Cost of one JSON-RPC call over Node's HTTP on loopback, beyond its parameters and its result. */
export interface PeerCost {
  /** HTTP headers and JSON-RPC envelope of the request, in bytes. */
  readonly requestBytes: number;
  /** HTTP headers and JSON-RPC envelope of the response, in bytes. */
  readonly responseBytes: number;
  /** Processor time of caller and server together, in ms. */
  readonly processorMs: number;
}

const CALLS = 3_000;
const WARM_UP_CALLS = 500;

const SILENT_LOG: Log = { info: () => {}, warn: () => {}, error: () => {} };
const SILENT_METER: Meter = { count: () => {}, record: () => {}, gauge: () => {} };

/** TCP relay that counts the bytes of each direction. */
class CountingRelay {
  public requestBytesSeen = 0;

  public responseBytesSeen = 0;

  private server: Server | null = null;

  public async listen(target: string): Promise<string> {
    const [host, port] = target.split(':') as [string, string];
    this.server = createServer((socket) => {
      const upstream = connect(Number(port), host);
      socket.on('data', (chunk) => {
        this.requestBytesSeen += chunk.length;
        upstream.write(chunk);
      });
      upstream.on('data', (chunk) => {
        this.responseBytesSeen += chunk.length;
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

/** Measures the real listener and caller with `payload` as both parameters and result; throws when a call fails. */
export async function measurePeerCost(payload: unknown): Promise<PeerCost> {
  const opts = { token: new Secret('token-of-the-control-bench'), log: SILENT_LOG, meter: SILENT_METER };
  const server = new PeerListener(opts);
  server.register('probe', async () => ok(payload));
  const listener = await server.listen('127.0.0.1:0');
  if (!listener.success) throw new Error(listener.error.message);
  const caller = new HttpPeerClient(opts);
  const relay = new CountingRelay();
  const relayed = await relay.listen(listener.data.address);
  const call = async (address: string): Promise<void> => {
    const result = await caller.call(address, 'probe', payload, { timeoutMs: 2_000 });
    if (!result.success) throw new Error(result.error.message);
  };
  await call(relayed);
  const bytes = Buffer.byteLength(JSON.stringify(payload));
  const requestBytes = relay.requestBytesSeen - bytes;
  const responseBytes = relay.responseBytesSeen - bytes;
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
