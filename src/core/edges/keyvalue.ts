import type { Result } from '../result.js';
import type { CallOptions } from './runtime.js';

/** Value stored in the key-value service. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  /** Service-wide revision of the last write to this key; grows with every write. */
  readonly version: number;
  readonly leaseId?: string;
}

/** One compare-and-swap; applies only if the key's version equals `expected` (0 means absent). */
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

/** Reasons why a key-value call gives no answer. */
export enum KeyValueErrorCode {
  /** Nothing took effect. */
  Unavailable = 'unavailable',
  /** The write may or may not have taken effect. */
  OutcomeUnknown = 'outcome_unknown',
  TooLarge = 'too_large',
  RateLimited = 'rate_limited',
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

/** Largest value that the key-value service stores, in bytes. */
export const KEY_VALUE_MAX_BYTES = 1_000_000;

/** Most operations in one {@link KeyValue.transact} call. */
export const KEY_VALUE_MAX_OPERATIONS = 64;

/** Key-value service with compare-and-swap, leases and watches. Each method call counts as one call. */
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
  /** Grants a lease; the keys attached to it are deleted once it expires. */
  leaseGrant(ttlMs: number, opts: CallOptions): Promise<Result<string, KeyValueError>>;
  /** Extends a lease by its full time to live. */
  leaseRenew(leaseId: string, opts: CallOptions): Promise<Result<void, KeyValueError>>;
  /** Ends a lease and deletes its keys. */
  leaseRevoke(leaseId: string, opts: CallOptions): Promise<Result<void, KeyValueError>>;
  /** Streams changes with `version >= fromVersion`; the stream ends when the watch breaks. */
  watch(prefix: string, fromVersion: number, signal: AbortSignal): AsyncIterable<WatchEvent>;
}
