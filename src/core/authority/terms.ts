import { z } from 'zod';
import { KeyValueErrorCode } from '../edges/index.js';
import type { CallOptions, KeyValue, KeyValueEntry } from '../edges/index.js';

/** Key that the holder's lease keeps alive. */
export const AUTHORITY_KEY = 'authority';

/** Key without lease that holds the last term, so that no term is used twice across expiry. */
export const TERM_KEY = 'authority/term';

export const holderSchema = z.object({ member: z.string(), address: z.string(), incarnation: z.string() });

/** Process that holds or held authority. */
export type Holder = z.infer<typeof holderSchema>;

const recordSchema = z.object({ attempt: z.string(), holder: holderSchema });

const termSchema = z.object({ attempt: z.string(), term: z.number().int().nonnegative() });

/** What one acquisition writes. */
interface Claim {
  readonly attempt: string;
  readonly holder: Holder;
  readonly leaseId: string;
  readonly term: number;
}

/** What the service holds about authority. */
export interface Seen {
  readonly authority: z.infer<typeof recordSchema> | null;
  readonly held: boolean;
  readonly term: z.infer<typeof termSchema> | null;
  readonly termVersion: number;
}

function decode<T>(schema: z.ZodType<T>, entry: KeyValueEntry | undefined): T | null {
  if (entry === undefined) return null;
  try {
    return schema.safeParse(JSON.parse(entry.value)).data ?? null;
  } catch {
    return null;
  }
}

/** Records of authority in the key-value service. */
export class Terms {
  /** Calls to the service so far. */
  public calls = 0;

  public constructor(
    private readonly keyValue: KeyValue,
    private readonly callOptions: CallOptions,
  ) {}

  /** Reads both records in one call; `null` when the service does not answer. */
  public async read(): Promise<Seen | null> {
    this.calls += 1;
    const result = await this.keyValue.range(AUTHORITY_KEY, this.callOptions);
    if (!result.success) return null;
    const authority = result.data.find(({ key }) => key === AUTHORITY_KEY);
    const term = result.data.find(({ key }) => key === TERM_KEY);
    return {
      authority: decode(recordSchema, authority),
      held: authority !== undefined,
      term: decode(termSchema, term),
      termVersion: term?.version ?? 0,
    };
  }

  /** Takes the key, unless it is `owned` already, and the next term; false when certainly nothing was written. */
  public async take(owned: boolean, seen: Seen, claim: Claim): Promise<boolean> {
    const {
      attempt, holder, leaseId, term,
    } = claim;
    this.calls += 1;
    const result = await this.keyValue.transact([
      ...(owned ? [] : [{
        key: AUTHORITY_KEY, expected: 0, value: JSON.stringify({ attempt, holder }), leaseId,
      }]),
      { key: TERM_KEY, expected: seen.termVersion, value: JSON.stringify({ attempt, term }) },
    ], this.callOptions);
    return result.success || result.error.code === KeyValueErrorCode.OutcomeUnknown;
  }

  public async grant(leaseMs: number): Promise<string | null> {
    this.calls += 1;
    const lease = await this.keyValue.leaseGrant(leaseMs, this.callOptions);
    return lease.success ? lease.data : null;
  }

  /** Extends the lease; `expired` once it is gone, `unknown` when there is no answer. */
  public async renew(leaseId: string): Promise<'renewed' | 'expired' | 'unknown'> {
    this.calls += 1;
    const renewed = await this.keyValue.leaseRenew(leaseId, this.callOptions);
    if (renewed.success) return 'renewed';
    return renewed.error.code === KeyValueErrorCode.LeaseNotFound ? 'expired' : 'unknown';
  }

  public async revoke(leaseId: string): Promise<void> {
    this.calls += 1;
    await this.keyValue.leaseRevoke(leaseId, this.callOptions);
  }
}
