import { z } from 'zod';
import { KeyValueErrorCode, Role } from '../interfaces/index.js';
import type { KeyValue, KeyValueEntry } from '../interfaces/index.js';
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

/** Holder of authority under a term that may have sent, or may still send, a copy of an order to the engine. */
export type OrderSender = z.infer<typeof senderSchema>;

const intentSchema = z.object({
  sequence: z.number().int().positive(),
  orderId: z.string(),
  term: z.number().int(),
  holder: holderSchema,
  action: actionSchema,
  state: z.enum(['open', 'done', 'failed']),
  /** Senders whose copies may still arrive. None may be left before a different order is sent. */
  senders: z.array(senderSchema),
});

/** Durable record of the only order that an engine may receive now; written before the order is sent. */
export type Intent = z.infer<typeof intentSchema>;

/** Outcome of {@link Intents.write}; `changed` if another process has written the intent in the meantime. */
export type WriteOutcome = 'written' | 'changed' | 'unknown';

/** Intent with the version of its key; `null` if the value cannot be read. */
interface StoredIntent {
  readonly intent: Intent | null;
  readonly version: number;
}

function decode(entry: KeyValueEntry): StoredIntent {
  try {
    return { intent: intentSchema.safeParse(JSON.parse(entry.value)).data ?? null, version: entry.version };
  } catch {
    return { intent: null, version: entry.version };
  }
}

/** Intents of all engines, as last read from or written to the key-value service. */
export class Intents {
  private readonly records = new Map<string, StoredIntent>();

  /** Engines whose last write of an intent has an unknown outcome. */
  private readonly uncertainWrites = new Set<string>();

  /** Calls to the key-value service since the start, for the dump. */
  private serviceCalls = 0;

  public constructor(private readonly keyValue: KeyValue) {}

  /** Reads all intents from the service; false if it did not answer. */
  public async load(): Promise<boolean> {
    this.serviceCalls += 1;
    const entries = await this.keyValue.range(INTENT_PREFIX, { timeoutMs: CALL_TIMEOUT_MS });
    if (!entries.success) return false;
    this.records.clear();
    this.uncertainWrites.clear();
    for (const entry of entries.data) this.records.set(entry.key.slice(INTENT_PREFIX.length), decode(entry));
    return true;
  }

  /** Last known intent of an engine, open or completed. */
  public get(engine: string): Intent | null {
    return this.records.get(engine)?.intent ?? null;
  }

  /** Last known intents of all engines, by engine name. */
  public all(): [string, Intent][] {
    return [...this.records].flatMap(([engine, { intent }]) => (intent === null ? [] : [[engine, intent]]));
  }

  /** Reads an intent again if the outcome of its last write is unknown; false if it is still unknown after that. */
  public async resolveWrite(engine: string): Promise<boolean> {
    if (!this.uncertainWrites.has(engine)) return true;
    this.serviceCalls += 1;
    const entry = await this.keyValue.get(INTENT_PREFIX + engine, { timeoutMs: CALL_TIMEOUT_MS });
    if (!entry.success) return false;
    // If the write takes effect only after this read, the next compare-and-swap fails and returns the written value.
    if (entry.data !== null && entry.data.version > this.version(engine)) this.records.set(engine, decode(entry.data));
    this.uncertainWrites.delete(engine);
    return true;
  }

  /** Replaces an engine's intent by a compare-and-swap against the last known version. */
  public async write(engine: string, intent: Intent): Promise<WriteOutcome> {
    const key = INTENT_PREFIX + engine;
    const value = JSON.stringify(intent);
    this.serviceCalls += 1;
    const operation = { key, expected: this.version(engine), value };
    const result = await this.keyValue.transact([operation], { timeoutMs: CALL_TIMEOUT_MS });
    if (!result.success) {
      if (result.error.code === KeyValueErrorCode.OutcomeUnknown) this.uncertainWrites.add(engine);
      return 'unknown';
    }
    const [outcome] = result.data;
    if (outcome?.applied === true) {
      this.records.set(engine, { intent, version: outcome.version });
      return 'written';
    }
    const current = outcome?.current ?? null;
    if (current === null) this.records.delete(engine);
    else this.records.set(engine, decode(current));
    return current?.value === value ? 'written' : 'changed';
  }

  /** State under stable keys, for the diagnostic dump. */
  public dump(): Record<string, unknown> {
    return {
      records: this.records.size,
      open: this.all().filter(([, { state }]) => state === 'open').map(([engine, intent]) => ({
        engine, order: intent.orderId, term: intent.term, sequence: intent.sequence, action: intent.action.type,
      })),
      service_calls: this.serviceCalls,
    };
  }

  private version(engine: string): number {
    return this.records.get(engine)?.version ?? 0;
  }
}
