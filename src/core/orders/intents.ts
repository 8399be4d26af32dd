import { z } from 'zod';
import { KeyValueErrorCode, Role } from '../edges/index.js';
import type { KeyValue, KeyValueEntry } from '../edges/index.js';
import { holderSchema } from '../authority/index.js';

/** Prefix of the intent keys; the engine's name follows. */
export const INTENT_PREFIX = 'intents/';

const CALL_TIMEOUT_MS = 1_000;

const actionSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('load'), model: z.string(), version: z.string() }),
  z.object({ type: z.literal('unload'), model: z.string(), version: z.string() }),
  z.object({ type: z.literal('load_adapter'), model: z.string(), adapter: z.string() }),
  z.object({ type: z.literal('role'), role: z.enum(Role) }),
]);

const senderSchema = z.object({ term: z.number().int(), holder: holderSchema });

/** Holder of a term that may have sent, or may still send, a copy of an order to the engine. */
export type Sender = z.infer<typeof senderSchema>;

const intentSchema = z.object({
  sequence: z.number().int().positive(),
  orderId: z.string(),
  term: z.number().int(),
  holder: holderSchema,
  action: actionSchema,
  state: z.enum(['open', 'done', 'failed']),
  /** Senders not known to have abandoned; each must be cleared before a different order is sent. */
  senders: z.array(senderSchema),
});

/** Durable record of the one order that an engine may receive now. */
export type Intent = z.infer<typeof intentSchema>;

/** Outcome of {@link Intents.write}. */
export type WriteOutcome = 'written' | 'changed' | 'unknown';

interface Row {
  readonly intent: Intent | null;
  readonly version: number;
}

function decode(entry: KeyValueEntry): Row {
  try {
    return { intent: intentSchema.safeParse(JSON.parse(entry.value)).data ?? null, version: entry.version };
  } catch {
    return { intent: null, version: entry.version };
  }
}

/** Intents of all engines as last read from or written to the key-value service. */
export class Intents {
  private readonly rows = new Map<string, Row>();

  /** Engines whose last write has an unknown outcome. */
  private readonly uncertain = new Set<string>();

  private calls = 0;

  public constructor(private readonly keyValue: KeyValue) {}

  /** Reads all intents again; false when the service did not answer. */
  public async load(): Promise<boolean> {
    this.calls += 1;
    const entries = await this.keyValue.range(INTENT_PREFIX, { timeoutMs: CALL_TIMEOUT_MS });
    if (!entries.success) return false;
    this.rows.clear();
    this.uncertain.clear();
    for (const entry of entries.data) this.rows.set(entry.key.slice(INTENT_PREFIX.length), decode(entry));
    return true;
  }

  public get(engine: string): Intent | null {
    return this.rows.get(engine)?.intent ?? null;
  }

  public all(): [string, Intent][] {
    return [...this.rows].flatMap(([engine, { intent }]) => (intent === null ? [] : [[engine, intent]]));
  }

  /** Reads an intent again if the outcome of its last write is unknown; false while it stays unknown. */
  public async settleWrite(engine: string): Promise<boolean> {
    if (!this.uncertain.has(engine)) return true;
    this.calls += 1;
    const entry = await this.keyValue.get(INTENT_PREFIX + engine, { timeoutMs: CALL_TIMEOUT_MS });
    if (!entry.success) return false;
    // A write that arrives after this read makes the next compare-and-swap fail, and is found then.
    if (entry.data !== null && entry.data.version > this.version(engine)) this.rows.set(engine, decode(entry.data));
    this.uncertain.delete(engine);
    return true;
  }

  /** Replaces an engine's intent by compare-and-swap against the last known version. */
  public async write(engine: string, intent: Intent): Promise<WriteOutcome> {
    const key = INTENT_PREFIX + engine;
    const value = JSON.stringify(intent);
    this.calls += 1;
    const operation = { key, expected: this.version(engine), value };
    const result = await this.keyValue.transact([operation], { timeoutMs: CALL_TIMEOUT_MS });
    if (!result.success) {
      if (result.error.code === KeyValueErrorCode.OutcomeUnknown) this.uncertain.add(engine);
      return 'unknown';
    }
    const [outcome] = result.data;
    if (outcome?.applied === true) {
      this.rows.set(engine, { intent, version: outcome.version });
      return 'written';
    }
    const current = outcome?.current ?? null;
    if (current === null) this.rows.delete(engine);
    else this.rows.set(engine, decode(current));
    return current?.value === value ? 'written' : 'changed';
  }

  public dump(): Record<string, unknown> {
    return {
      records: this.rows.size,
      open: this.all().filter(([, { state }]) => state === 'open').map(([engine, intent]) => ({
        engine, order: intent.orderId, term: intent.term, sequence: intent.sequence, action: intent.action.type,
      })),
      service_calls: this.calls,
    };
  }

  private version(engine: string): number {
    return this.rows.get(engine)?.version ?? 0;
  }
}
