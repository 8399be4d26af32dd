import { setTimeout as wait } from 'node:timers/promises';
import type { ServerResponse } from 'node:http';
import { ServerStandIn, sendSignedResponse } from '../emulator/backend.js';
import type { ReceivedCall } from '../emulator/backend.js';
import type { StoreStandIn } from '../emulator/platformstore.js';
import { CallType, EVENTS_PER_STREAM, expectedBody } from './checks.js';
import type { Arrival } from './checks.js';

/** Time in ms between two events of a stream. */
const EVENT_PERIOD_MS = 60;

/** Time in ms for which a leaving server still serves, and for which the record of a crashed one stays. */
const SERVE_WHILE_LEAVING_MS = 4_500;

/** Receives what happens at the backend servers, and supplies the clock; times in ms. */
export interface ServerObserver {
  readonly now: () => number;
  /** Longest recent delay of the process of the soak. */
  readonly lagMs: () => number;
  recordArrival(arrival: Arrival): void;
  /** Called once the store has acknowledged that the server is leaving. */
  recordLeaving(server: string): void;
  /** Called just before the server stops. */
  recordStopped(server: string): void;
}

function callTypeOf(call: ReceivedCall): CallType {
  if (call.url.startsWith('/talk/')) return CallType.Talk;
  return call.url.startsWith('/order/') ? CallType.Order : CallType.Look;
}

/** Streams the events after number `lastEvent`, the last one that the caller has received. */
function streamEvents(res: ServerResponse, id: string, lastEvent: number): void {
  res.writeHead(200, { 'Catkinscale-Server-Signature': 'soak', 'Content-Type': 'text/event-stream' });
  let event = lastEvent;
  const timer = setInterval(() => {
    event += 1;
    res.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
    if (event < EVENTS_PER_STREAM) return;
    clearInterval(timer);
    res.end();
  }, EVENT_PERIOD_MS);
  res.on('close', () => clearInterval(timer));
}

/** Backend servers of one service, with their records in the store. */
export class ServerFleet {
  private readonly serving = new Map<string, ServerStandIn>();

  /** Servers that say in their answers that they leave. */
  private readonly leaving = new Set<string>();

  private startedCount = 0;

  public constructor(
    private readonly store: StoreStandIn,
    private readonly service: string,
    private readonly observer: ServerObserver,
  ) {}

  /** Starts a server, writes its record to the store and returns its id. */
  public async add(): Promise<string> {
    this.startedCount += 1;
    const id = `${this.service}-${this.startedCount}`;
    const server = new ServerStandIn(id, (res, call) => this.answer(id, res, call));
    await server.start();
    this.serving.set(id, server);
    this.store.put(`servers/${id}`, server.serverRecord(this.service, { born: this.startedCount, sequence: 1, slots: 16 }));
    return id;
  }

  /** Adds a server, then makes the one that `draw` (0 to below 1) selects drain, leave without draining, or crash. */
  public async replace(draw: number, how: 'drain' | 'leave' | 'crash'): Promise<void> {
    const ids = [...this.serving.keys()];
    const id = ids[Math.floor(draw * ids.length)]!;
    const server = this.serving.get(id)!;
    await this.add();
    this.serving.delete(id);
    if (how === 'crash') {
      this.observer.recordStopped(id);
      server.stop();
      await wait(SERVE_WHILE_LEAVING_MS);
      this.store.remove(`servers/${id}`);
      return;
    }
    if (how === 'drain') {
      const entry = { state: 'draining', born: Number(id.split('-')[1]), sequence: 2 };
      this.store.put(`servers/${id}`, server.serverRecord(this.service, entry));
    } else this.store.remove(`servers/${id}`);
    this.observer.recordLeaving(id);
    this.leaving.add(id);
    await wait(SERVE_WHILE_LEAVING_MS);
    this.store.remove(`servers/${id}`);
    this.observer.recordStopped(id);
    server.stop();
  }

  public stop(): void {
    for (const server of this.serving.values()) server.stop();
  }

  private answer(id: string, res: ServerResponse, call: ReceivedCall): void {
    const callId = String(call.headers['catkinscale-request-id']);
    this.observer.recordArrival({
      call: callId,
      server: id,
      at: this.observer.now(),
      lagMs: this.observer.lagMs(),
      ran: true,
      workspace: String(call.headers['catkinscale-tenant']),
      showsKey: call.headers.authorization !== undefined,
    });
    if (this.leaving.has(id)) res.setHeader('Server-Leaving', '1');
    const type = callTypeOf(call);
    if (type === CallType.Talk) streamEvents(res, callId, Number(call.headers['last-event-id'] ?? 0));
    else sendSignedResponse(res, expectedBody(type, callId));
  }
}
