import { Agent, request as httpRequest } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';
import type { SeededRandom } from '../emulator/random.js';
import type { CallRecord } from './checks.js';
import { CallType } from './checks.js';
import type { KeyRecord } from './keys.js';

/** Time in ms after which a caller gives up a call; also sent to the gateway as the deadline of the call. */
const DEADLINE_MS = 2_500;

/** Time in ms between the end of one call and the start of the next. */
const CALL_INTERVAL_MS = 40;

/** Additional delay in ms after a call without a response, before the next call to a randomly chosen gateway. */
const RECONNECT_DELAY_MS = 100;

/** Types that each call is picked from; half of the calls are plain reads. */
const CALL_TYPES: readonly CallType[] = [CallType.Order, CallType.Look, CallType.Look, CallType.Talk];

/** Dependencies of {@link SoakCaller}. */
export interface SoakCallerDependencies {
  readonly random: SeededRandom;
  /** Time in ms on the clock of the soak run. */
  readonly now: () => number;
  /** Addresses at which the gateways accept calls, as `ip:port`. */
  readonly gateways: readonly string[];
  /** Returns a path for a call of this type, among the routes that the store has acknowledged. */
  readonly path: (type: CallType) => string;
  /** Returns a key for a call. */
  readonly key: () => KeyRecord;
  /** Records a finished call. */
  readonly record: (call: CallRecord) => void;
}

/** Client with one keep-alive connection to a gateway; after a call without a response it picks a gateway at random. */
export class SoakCaller {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });

  private calls = 0;

  public constructor(private readonly name: string, private readonly deps: SoakCallerDependencies) {}

  /** Sends calls one after another until `signal` is aborted. */
  public async run(signal: AbortSignal): Promise<void> {
    const { random, gateways, record } = this.deps;
    let gateway = random.pick(gateways);
    while (!signal.aborted) {
      const call = await this.call(gateway, random.pick(CALL_TYPES));
      record(call);
      if (call.status === 0) {
        gateway = random.pick(gateways);
        await wait(RECONNECT_DELAY_MS);
      }
      await wait(CALL_INTERVAL_MS);
    }
    this.agent.destroy();
  }

  private call(gateway: string, type: CallType): Promise<CallRecord> {
    const { now, path: pathOf } = this.deps;
    const { key, workspace } = this.deps.key();
    this.calls += 1;
    const id = `${this.name}-${this.calls}`;
    const path = pathOf(type);
    const [host, port] = gateway.split(':');
    const sentAt = now();
    return new Promise((resolve) => {
      let status = 0;
      let body = '';
      let timedOut = false;
      let resolved = false;
      let timer: NodeJS.Timeout | null = null;
      const finish = (complete: boolean): void => {
        if (resolved) return;
        resolved = true;
        if (timer !== null) clearTimeout(timer);
        resolve({
          id, type, gateway, path, key, workspace, sentAt, endedAt: now(), status, complete, body, timedOut,
        });
      };
      const req = httpRequest({
        host,
        port,
        path,
        agent: this.agent,
        method: type === CallType.Look ? 'GET' : 'POST',
        headers: {
          host: 'shop.example',
          'catkinscale-request-id': id,
          'catkinscale-deadline-ms': String(DEADLINE_MS),
          authorization: `Bearer ${key}`,
          // Only the gateway may name the workspace.
          'catkinscale-tenant': 'nobody',
        },
      }, (res) => {
        status = res.statusCode ?? 0;
        res.setEncoding('utf8');
        res.on('data', (chunk: string) => {
          body += chunk;
        });
        // A response that breaks off also emits `close`, which finishes the call.
        res.on('error', () => {});
        res.on('close', () => finish(res.complete));
      });
      timer = setTimeout(() => {
        timedOut = true;
        req.destroy();
      }, DEADLINE_MS);
      req.on('error', () => finish(false));
      req.end(type === CallType.Look ? undefined : '{}');
    });
  }
}
