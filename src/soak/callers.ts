import { Agent, request as httpRequest } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';
import type { SeededRandom } from '../emulator/random.js';
import type { CallRecord } from './checks.js';
import { CallType } from './checks.js';

/** Time in ms that a caller waits for an answer. */
const DEADLINE_MS = 2_500;

const PAUSE_MS = 40;

/** Time in ms after a failed connection before another gateway is tried. */
const ELSEWHERE_MS = 100;

const TYPES: readonly CallType[] = [CallType.Order, CallType.Look, CallType.Look, CallType.Talk];

/** What a caller needs of the soak. */
export interface CallerEdges {
  readonly random: SeededRandom;
  readonly now: () => number;
  /** Addresses of all gateways. */
  readonly gateways: readonly string[];
  /** Path of a call of this type, among the routes that the operator has acknowledged. */
  readonly path: (type: CallType) => string;
  readonly record: (call: CallRecord) => void;
}

/** Caller that keeps its connection to one gateway until the process there is gone, and then turns to another one. */
export class SoakCaller {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });

  private calls = 0;

  public constructor(private readonly name: string, private readonly edges: CallerEdges) {}

  /** Sends one call after the other until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const { random, gateways, record } = this.edges;
    let gateway = random.pick(gateways);
    while (!signal.aborted) {
      const call = await this.call(gateway, random.pick(TYPES));
      record(call);
      if (call.status === 0) {
        gateway = random.pick(gateways);
        await wait(ELSEWHERE_MS);
      }
      await wait(PAUSE_MS);
    }
    this.agent.destroy();
  }

  private call(gateway: string, type: CallType): Promise<CallRecord> {
    const { now, path: pathOf } = this.edges;
    this.calls += 1;
    const id = `${this.name}-${this.calls}`;
    const path = pathOf(type);
    const [host, port] = gateway.split(':');
    const sentAt = now();
    return new Promise((resolve) => {
      let status = 0;
      let body = '';
      let gaveUp = false;
      let settled = false;
      let timer: NodeJS.Timeout | null = null;
      const finish = (whole: boolean): void => {
        if (settled) return;
        settled = true;
        if (timer !== null) clearTimeout(timer);
        resolve({
          id, type, gateway, path, sentAt, endedAt: now(), status, whole, body, gaveUp,
        });
      };
      const req = httpRequest({
        host,
        port,
        path,
        agent: this.agent,
        method: type === CallType.Look ? 'GET' : 'POST',
        headers: {
          host: 'shop.example', 'catkinscale-request-id': id, 'catkinscale-deadline-ms': String(DEADLINE_MS),
        },
      }, (res) => {
        status = res.statusCode ?? 0;
        res.setEncoding('utf8');
        res.on('data', (chunk: string) => {
          body += chunk;
        });
        // A broken answer is told by `close` as well.
        res.on('error', () => {});
        res.on('close', () => finish(res.complete));
      });
      timer = setTimeout(() => {
        gaveUp = true;
        req.destroy();
      }, DEADLINE_MS);
      req.on('error', () => finish(false));
      req.end(type === CallType.Look ? undefined : '{}');
    });
  }
}
