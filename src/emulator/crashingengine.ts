import { sendSignedResponse, ServerStandIn } from './backend.js';
import type { ReceivedCall } from './backend.js';
import type { StoreStandIn } from './platformstore.js';

/** Time in ms after which an engine that has crashed is back. */
const RESTART_MS = 150;

/** Options of {@link CrashingEngine}. */
export interface CrashingEngineOptions {
  readonly store: StoreStandIn;
  readonly service: string;
  /** Id of the prompt part that crashes the engine. */
  readonly deadlyPart: string;
  /** Time in ms from the head of an answer on that part to the crash; 5 by default. */
  readonly crashAfterMs?: number;
  /** Whether it crashes before the head of an answer on that part. */
  readonly crashesBeforeHead?: boolean;
}

/** Ids of the prompt parts of a call. */
export function partsOf({ headers }: ReceivedCall): readonly string[] {
  const prefix = headers['catkinscale-prompt-prefix'];
  return typeof prefix === 'string' ? prefix.split(',').map((part) => part.split(':')[0] ?? '') : [];
}

/** Stand-in for an engine that crashes when it begins an answer on one prompt part, and is back after a while. */
export class CrashingEngine {
  /** Number of times that it has crashed. */
  public crashes = 0;

  /** Whether it refuses calls as if it were full. */
  public isFull = false;

  private readonly server: ServerStandIn;

  private starts = 0;

  private restart: NodeJS.Timeout | null = null;

  public constructor(public readonly id: string, private readonly opts: CrashingEngineOptions) {
    this.server = new ServerStandIn(id, (res, call) => {
      if (this.isFull) {
        res.writeHead(503, { 'Catkinscale-Not-Executed': '1' });
        res.end('full');
      } else if (partsOf(call).includes(opts.deadlyPart)) {
        if (opts.crashesBeforeHead !== true) {
          res.writeHead(200, { 'Catkinscale-Server-Signature': 's1', 'Content-Type': 'text/event-stream' });
          res.flushHeaders();
        }
        setTimeout(() => this.crash(), opts.crashAfterMs ?? 5);
      } else sendSignedResponse(res, 'id: 1\n\nid: 2\n\n');
    });
  }

  /** Calls with the deadly part that have arrived. */
  public get deadlyCalls(): number {
    return this.server.received.filter((call) => partsOf(call).includes(this.opts.deadlyPart)).length;
  }

  public async start(): Promise<void> {
    await this.server.start();
    this.starts += 1;
    this.register();
  }

  /** Announces that the engine leaves; it still works on its calls. */
  public leave(): void {
    this.register({ state: 'draining' });
  }

  public crash(): void {
    if (this.restart !== null) return;
    this.crashes += 1;
    this.server.stop();
    this.restart = setTimeout(() => {
      this.restart = null;
      void this.start();
    }, RESTART_MS);
  }

  public stop(): void {
    if (this.restart !== null) clearTimeout(this.restart);
    this.server.stop();
  }

  private register(changes: object = {}): void {
    this.opts.store.put(`servers/${this.id}`, this.server.serverRecord(this.opts.service, {
      stage: 'decode', born: this.starts, ...changes,
    }));
  }
}
