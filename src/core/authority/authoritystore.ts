import { z } from 'zod';
import { KeyValueErrorCode } from '../interfaces/index.js';
import type { CallOptions, KeyValue, KeyValueEntry } from '../interfaces/index.js';

/** Key of the current holder; it exists only as long as the holder's lease. */
export const AUTHORITY_KEY = 'authority';

/** Key of the last term. It has no lease, so that no term is used twice after a lease has expired. */
export const TERM_KEY = 'authority/term';

/** Schema of {@link Holder}. */
export const holderSchema = z.object({ member: z.string(), address: z.string(), incarnation: z.string() });

/** Process that holds, or used to hold, authority. */
export type Holder = z.infer<typeof holderSchema>;

const holderRecordSchema = z.object({ attempt: z.string(), holder: holderSchema });

const termRecordSchema = z.object({ attempt: z.string(), term: z.number().int().nonnegative() });

/** Values that one acquisition writes. */
interface Claim {
  readonly attempt: string;
  readonly holder: Holder;
  readonly leaseId: string;
  readonly term: number;
}

/** Authority records as read from the key-value service. */
export interface AuthoritySnapshot {
  readonly authority: z.infer<typeof holderRecordSchema> | null;
  /** True while the key exists, also when its value can't be decoded. */
  readonly isHeld: boolean;
  readonly term: z.infer<typeof termRecordSchema> | null;
  /** Version of the key {@link TERM_KEY}, 0 when it doesn't exist; expected by the next write. */
  readonly termVersion: number;
}

function parseEntry<T>(schema: z.ZodType<T>, entry: KeyValueEntry | undefined): T | null {
  if (entry === undefined) return null;
  try {
    return schema.safeParse(JSON.parse(entry.value)).data ?? null;
  } catch {
    return null;
  }
}

/** Reads and writes the authority records in the key-value service. */
export class AuthorityStore {
  /** Number of calls to the service so far. */
  public callCount = 0;

  public constructor(
    private readonly keyValue: KeyValue,
    private readonly callOptions: CallOptions,
  ) {}

  /** Reads both records in one call; `null` when the call fails. */
  public async read(): Promise<AuthoritySnapshot | null> {
    this.callCount += 1;
    const result = await this.keyValue.range(AUTHORITY_KEY, this.callOptions);
    if (!result.success) return null;
    const authority = result.data.find(({ key }) => key === AUTHORITY_KEY);
    const term = result.data.find(({ key }) => key === TERM_KEY);
    return {
      authority: parseEntry(holderRecordSchema, authority),
      isHeld: authority !== undefined,
      term: parseEntry(termRecordSchema, term),
      termVersion: term?.version ?? 0,
    };
  }

  /**
   * Writes the holder, unless the key is owned already, and the next term, in one transaction. Returns false when it is
   * certain that nothing was written, true when it was written, was rejected as outdated, or may have been written.
   */
  public async writeClaim(isOwned: boolean, snapshot: AuthoritySnapshot, claim: Claim): Promise<boolean> {
    const {
      attempt, holder, leaseId, term,
    } = claim;
    this.callCount += 1;
    const result = await this.keyValue.transact([
      ...(isOwned ? [] : [{
        key: AUTHORITY_KEY, expected: 0, value: JSON.stringify({ attempt, holder }), leaseId,
      }]),
      { key: TERM_KEY, expected: snapshot.termVersion, value: JSON.stringify({ attempt, term }) },
    ], this.callOptions);
    return result.success || result.error.code === KeyValueErrorCode.OutcomeUnknown;
  }

  /** Requests a lease and returns its id; `null` when the call fails. */
  public async grantLease(leaseMs: number): Promise<string | null> {
    this.callCount += 1;
    const lease = await this.keyValue.leaseGrant(leaseMs, this.callOptions);
    return lease.success ? lease.data : null;
  }

  /** Renews a lease; `expired` when the service no longer has it, `unknown` after any other error. */
  public async renewLease(leaseId: string): Promise<'renewed' | 'expired' | 'unknown'> {
    this.callCount += 1;
    const renewed = await this.keyValue.leaseRenew(leaseId, this.callOptions);
    if (renewed.success) return 'renewed';
    return renewed.error.code === KeyValueErrorCode.LeaseNotFound ? 'expired' : 'unknown';
  }

  /** Revokes a lease; errors are ignored, as it then expires by itself. */
  public async revokeLease(leaseId: string): Promise<void> {
    this.callCount += 1;
    await this.keyValue.leaseRevoke(leaseId, this.callOptions);
  }
}
