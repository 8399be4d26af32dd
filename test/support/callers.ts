import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { request } from 'undici';
import { expect } from 'vitest';
import { SystemClock } from '../../src/adapters/system.js';
import type { CallerOptions } from '../../src/daemon/callers.js';
import { listenCallers } from '../../src/daemon/callers.js';
import type { HttpListener } from '../../src/daemon/http.js';
import { FakeEntry, quietLog, quietMeter } from './fakes.js';

/** Limits of the listener: body in bytes, number of connections, header timeout in ms. */
export const LIMITS = { body: 20_000, connections: 40, headerTimeout: 300 };

/** Body of a completion request. */
export const COMPLETION = JSON.stringify({ model: 'catalogue', prompt: 'Is the hen well?' });

/** Body of a completion request for a streamed answer. */
export const STREAM = JSON.stringify({ model: 'catalogue', prompt: 'Is the hen well?', stream: true });

/** HTTP response, read to its end. */
export interface Reply {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly text: string;
}

/** Returns the field `error` of the JSON body of a refusal. */
export function errorOf(reply: Reply): Record<string, unknown> {
  return (JSON.parse(reply.text) as { error: Record<string, unknown> }).error;
}

/** Waits until a condition holds; fails the test after about two seconds. */
export async function waitUntil(check: () => boolean): Promise<void> {
  for (let round = 0; round < 400 && !check(); round += 1) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  expect(check()).toBe(true);
}

/** Listener for callers on a free loopback port, in front of a {@link FakeEntry}. */
export class CallerTestServer {
  private constructor(public readonly entry: FakeEntry, private readonly listener: HttpListener) {}

  public static async open(opts: Partial<CallerOptions> = {}): Promise<CallerTestServer> {
    const entry = new FakeEntry();
    const result = await listenCallers(entry, {
      address: '127.0.0.1:0',
      limits: LIMITS,
      writeBufferBytes: 4_096,
      stallTimeoutMs: 5_000,
      clock: new SystemClock(),
      log: quietLog,
      meter: quietMeter,
      ...opts,
    });
    if (!result.success) throw new Error(result.error.message);
    return new CallerTestServer(entry, result.data);
  }

  public get baseUrl(): string {
    return `http://${this.listener.address}`;
  }

  public async post(path: string, body: string | Buffer, headers: Record<string, string> = {}): Promise<Reply> {
    const res = await request(`${this.baseUrl}${path}`, { method: 'POST', headers, body });
    return { status: res.statusCode, headers: res.headers, text: await res.body.text() };
  }

  public connect(): Socket {
    return connect(Number(this.listener.address.split(':')[1]), '127.0.0.1');
  }

  /** Sends raw bytes and returns everything received until the connection closes. */
  public sendRaw(text: string): Promise<string> {
    return new Promise((resolve) => {
      const socket = this.connect();
      let received = '';
      socket.on('data', (chunk) => {
        received += chunk.toString();
      });
      socket.on('error', () => {});
      socket.on('close', () => resolve(received));
      socket.write(text);
    });
  }

  public close(): void {
    this.listener.destroy();
  }
}
