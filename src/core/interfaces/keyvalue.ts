import type { Result } from '../result.js';
import type { CallOptions } from './runtime.js';

/** Key and value stored in the key-value service. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  /** Revision of the service at the last write to this key; every write to the service increases the revision. */
  readonly version: number;
  /** Lease whose expiry deletes the key. */
  readonly leaseId?: string;
}

/** One compare-and-swap; applied only if the key's version equals `expected`, where 0 means that the key is absent. */
export interface CasOperation {
  readonly key: string;
  readonly expected: number;
  /** New value, or `null` to delete the key. */
  readonly value: string | null;
  /** Lease whose expiry deletes the key. */
  readonly leaseId?: string;
}

/** Outcome of one compare-and-swap. */
export type CasResult =
  | { readonly applied: true; readonly version: number }
  | { readonly applied: false; readonly current: KeyValueEntry | null };

/** Reasons why a key-value call fails. */
export enum KeyValueErrorCode {
  /** The service is unavailable or a read failed; nothing was written. */
  Unavailable = 'unavailable',
  /** The write may or may not have taken effect. */
  OutcomeUnknown = 'outcome_unknown',
  /** A value is larger than {@link KEY_VALUE_MAX_BYTES}; nothing was written. */
  TooLarge = 'too_large',
  /** The service refused the call because of its rate limit. */
  RateLimited = 'rate_limited',
  /** The lease does not exist or has expired. */
  LeaseNotFound = 'lease_not_found',
}

/** Error of the key-value service. */
export interface KeyValueError {
  readonly code: KeyValueErrorCode;
  readonly message: string;
}

/** Change delivered by a watch. */
export type WatchEvent =
  | { readonly type: 'put'; readonly entry: KeyValueEntry }
  | { readonly type: 'delete'; readonly key: string; readonly version: number };

/** Size limit of a value in the key-value service, in bytes. */
export const KEY_VALUE_MAX_BYTES = 1_000_000;

/** Maximum number of operations in one {@link KeyValue.transact} call. */
export const KEY_VALUE_MAX_OPERATIONS = 64;

/** Key-value service with compare-and-swap, leases and watches. Each method call counts once against its rate limit. */
export interface KeyValue {
  /** Reads one key; `null` when it is absent. */
  get(key: string, opts: CallOptions): Promise<Result<KeyValueEntry | null, KeyValueError>>;
  /** Reads all keys with a prefix, in key order. */
  range(prefix: string, opts: CallOptions): Promise<Result<readonly KeyValueEntry[], KeyValueError>>;
  /** Performs up to 64 independent compare-and-swaps in one call; each succeeds or fails on its own. */
  transact(
    operations: readonly CasOperation[],
    opts: CallOptions,
  ): Promise<Result<readonly CasResult[], KeyValueError>>;
  /** Grants a lease and returns its id. The keys attached to the lease are deleted when it expires. */
  leaseGrant(ttlMs: number, opts: CallOptions): Promise<Result<string, KeyValueError>>;
  /** Extends a lease by its full time to live. */
  leaseRenew(leaseId: string, opts: CallOptions): Promise<Result<void, KeyValueError>>;
  /** Revokes a lease and deletes its keys. */
  leaseRevoke(leaseId: string, opts: CallOptions): Promise<Result<void, KeyValueError>>;
  /** Streams the changes with `version >= fromVersion`; the stream ends when the watch breaks or `signal` aborts. */
  watch(prefix: string, fromVersion: number, signal: AbortSignal): AsyncIterable<WatchEvent>;
}
