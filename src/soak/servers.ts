import { setTimeout as wait } from 'node:timers/promises';
import type { ServerResponse } from 'node:http';
import { ServerStandIn, signed } from '../emulator/backend.js';
import type { Received } from '../emulator/backend.js';
import type { StoreStandIn } from '../emulator/platformstore.js';
import { CallType, EVENTS, expectedBody } from './checks.js';
import type { Arrival } from './checks.js';

const EVENT_PERIOD_MS = 60;

/** Time in ms for which a leaving server goes on serving. */
const SERVING_MS = 4_500;

/** What the backend servers report to the soak. */
export interface ServerLedger {
  readonly now: () => number;
  readonly lagMs: () => number;
  arrived(arrival: Arrival): void;
  left(server: string): void;
  gone(server: string): void;
}

function typeOf(call: Received): CallType {
  if (call.url.startsWith('/talk/')) return CallType.Talk;
  return call.url.startsWith('/order/') ? CallType.Order : CallType.Look;
}

/** Streams the events after the last one that the caller has. */
function stream(res: ServerResponse, id: string, after: number): void {
  res.writeHead(200, { 'Catkinscale-Server-Signature': 'soak', 'Content-Type': 'text/event-stream' });
  let event = after;
  const timer = setInterval(() => {
    event += 1;
    res.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
    if (event < EVENTS) return;
    clearInterval(timer);
    res.end();
  }, EVENT_PERIOD_MS);
  res.on('close', () => clearInterval(timer));
}

/** Backend servers of one service, each in the store while it serves. */
export class ServerFleet {
  private readonly serving = new Map<string, ServerStandIn>();

  private started = 0;

  public constructor(
    private readonly store: StoreStandIn,
    private readonly service: string,
    private readonly ledger: ServerLedger,
  ) {}

  /** Adds a server and gives its id. */
  public async add(): Promise<string> {
    this.started += 1;
    const id = `${this.service}-${this.started}`;
    const server = new ServerStandIn(id, (res, call) => this.answer(id, res, call));
    await server.start();
    this.serving.set(id, server);
    this.store.put(`servers/${id}`, server.entry(this.service, { born: this.started, sequence: 1, slots: 16 }));
    return id;
  }

  /** Lets the server that `draw` picks leave, and adds another one before. */
  public async replace(draw: number, how: 'drain' | 'leave' | 'crash'): Promise<void> {
    const ids = [...this.serving.keys()];
    const id = ids[Math.floor(draw * ids.length)]!;
    const server = this.serving.get(id)!;
    await this.add();
    this.serving.delete(id);
    if (how === 'crash') {
      this.ledger.gone(id);
      server.stop();
      await wait(SERVING_MS);
      this.store.remove(`servers/${id}`);
      return;
    }
    if (how === 'drain') {
      const entry = { state: 'draining', born: Number(id.split('-')[1]), sequence: 2 };
      this.store.put(`servers/${id}`, server.entry(this.service, entry));
    } else this.store.remove(`servers/${id}`);
    this.ledger.left(id);
    await wait(SERVING_MS);
    this.store.remove(`servers/${id}`);
    this.ledger.gone(id);
    server.stop();
  }

  public stop(): void {
    for (const server of this.serving.values()) server.stop();
  }

  private answer(id: string, res: ServerResponse, call: Received): void {
    const callId = String(call.headers['catkinscale-request-id']);
    this.ledger.arrived({
      call: callId, server: id, at: this.ledger.now(), lagMs: this.ledger.lagMs(), ran: true,
    });
    const type = typeOf(call);
    if (type === CallType.Talk) stream(res, callId, Number(call.headers['last-event-id'] ?? 0));
    else signed(res, expectedBody(type, callId));
  }
}
