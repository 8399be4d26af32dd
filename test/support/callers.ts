import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { request } from 'undici';
import { expect } from 'vitest';
import { SystemClock } from '../../src/adapters/system.js';
import type { CallerOptions } from '../../src/daemon/callers.js';
import { listenCallers } from '../../src/daemon/callers.js';
import type { HttpListener } from '../../src/daemon/http.js';
import { FakeEntry, quietLog, quietMeter } from './fakes.js';

export const LIMITS = { body: 20_000, connections: 40, headerTimeout: 300 };

export const COMPLETION = JSON.stringify({ model: 'catalogue', prompt: 'Is the hen well?' });

export const STREAM = JSON.stringify({ model: 'catalogue', prompt: 'Is the hen well?', stream: true });

/** Answer as a test reads it. */
export interface Reply {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly text: string;
}

/** Error of a refusal. */
export function errorOf(reply: Reply): Record<string, unknown> {
  return (JSON.parse(reply.text) as { error: Record<string, unknown> }).error;
}

/** Waits up to two seconds until a condition holds. */
export async function until(check: () => boolean): Promise<void> {
  for (let round = 0; round < 400 && !check(); round += 1) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  expect(check()).toBe(true);
}

/** Caller listener over a fake entry. */
export class CallerBench {
  private constructor(public readonly entry: FakeEntry, private readonly listener: HttpListener) {}

  public static async open(opts: Partial<CallerOptions> = {}): Promise<CallerBench> {
    const entry = new FakeEntry();
    const result = await listenCallers(entry, {
      address: '127.0.0.1:0',
      limits: LIMITS,
      buffer: 4_096,
      stall: 5_000,
      clock: new SystemClock(),
      log: quietLog,
      meter: quietMeter,
      ...opts,
    });
    if (!result.success) throw new Error(result.error.message);
    return new CallerBench(entry, result.data);
  }

  public get base(): string {
    return `http://${this.listener.address}`;
  }

  public async post(path: string, body: string | Buffer, headers: Record<string, string> = {}): Promise<Reply> {
    const res = await request(`${this.base}${path}`, { method: 'POST', headers, body });
    return { status: res.statusCode, headers: res.headers, text: await res.body.text() };
  }

  public connect(): Socket {
    return connect(Number(this.listener.address.split(':')[1]), '127.0.0.1');
  }

  /** Sends raw bytes and gives all that comes back until the connection ends. */
  public raw(text: string): Promise<string> {
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
