import { z } from 'zod';
import { KEY_VALUE_MAX_BYTES, KeyValueErrorCode } from '../core/edges/index.js';
import type {
  CallOptions, CasOperation, CasResult, KeyValue, KeyValueEntry, KeyValueError, WatchEvent,
} from '../core/edges/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { HttpConnection, readText } from './http.js';
import type { HttpFailure } from './http.js';

/** Integers travel as decimal strings in the JSON mapping of protocol buffers. */
const int64 = z.union([z.string(), z.number()]).transform(Number);

const pairSchema = z.object({
  key: z.string(),
  value: z.string().default(''),
  mod_revision: int64.default(0),
  lease: z.union([z.string(), z.number()]).transform(String).optional(),
});

const rangeSchema = z.object({ kvs: z.array(pairSchema).default([]) });

const operationSchema = z.object({
  response_txn: z.object({
    succeeded: z.boolean().default(false),
    responses: z.array(z.object({ response_range: rangeSchema.optional() })).default([]),
  }),
});

const txnSchema = z.object({
  header: z.object({ revision: int64 }),
  responses: z.array(operationSchema).default([]),
});

const leaseSchema = z.object({ ID: z.union([z.string(), z.number()]).transform(String) });

const keepAliveSchema = z.object({ result: z.object({ TTL: int64.default(0) }) });

const errorSchema = z.object({ code: z.number(), message: z.string().default('') });

const watchSchema = z.object({
  result: z.object({
    events: z.array(z.object({ type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: pairSchema })).default([]),
  }),
});

const HTTP_OK = 200;
/** gRPC status codes with a meaning of their own here. */
const CODES: ReadonlyMap<number, KeyValueErrorCode> = new Map([
  [5, KeyValueErrorCode.LeaseNotFound],
  [8, KeyValueErrorCode.RateLimited],
]);
const MS_PER_SECOND = 1_000;

function encode(text: string): string {
  return Buffer.from(text).toString('base64');
}

function decode(text: string): string {
  return Buffer.from(text, 'base64').toString();
}

/** Smallest key that is greater than every key with the prefix. */
function prefixEnd(prefix: string): string {
  const bytes = Buffer.from(prefix);
  bytes[bytes.length - 1]! += 1;
  return bytes.toString('base64');
}

function toEntry(pair: z.infer<typeof pairSchema>): KeyValueEntry {
  const { lease } = pair;
  return {
    key: decode(pair.key),
    value: decode(pair.value),
    version: pair.mod_revision,
    ...(lease === undefined || lease === '0' ? {} : { leaseId: lease }),
  };
}

function toTxn(operation: CasOperation): unknown {
  const key = encode(operation.key);
  const change = operation.value === null
    ? { request_delete_range: { key } }
    : { request_put: { key, value: encode(operation.value), lease: operation.leaseId ?? '0' } };
  return {
    request_txn: {
      compare: [{
        key, target: 'MOD', result: 'EQUAL', mod_revision: String(operation.expected),
      }],
      success: [change],
      failure: [{ request_range: { key } }],
    },
  };
}

/** Key-value service that speaks the JSON mapping of the etcd v3 API, where each transaction is one call. */
export class HttpKeyValue implements KeyValue {
  private readonly connection: HttpConnection;

  private readonly watches: HttpConnection;

  public constructor(address: string) {
    this.connection = new HttpConnection(address);
    this.watches = new HttpConnection(address);
  }

  public async get(key: string, opts: CallOptions): Promise<Result<KeyValueEntry | null, KeyValueError>> {
    const answer = await this.ask('/v3/kv/range', { key: encode(key) }, rangeSchema, opts, false);
    if (!answer.success) return answer;
    const pair = answer.data.kvs[0];
    return ok(pair === undefined ? null : toEntry(pair));
  }

  public async range(prefix: string, opts: CallOptions): Promise<Result<readonly KeyValueEntry[], KeyValueError>> {
    const body = {
      key: encode(prefix), range_end: prefixEnd(prefix), sort_target: 'KEY', sort_order: 'ASCEND',
    };
    const answer = await this.ask('/v3/kv/range', body, rangeSchema, opts, false);
    return answer.success ? ok(answer.data.kvs.map(toEntry)) : answer;
  }

  public async transact(
    operations: readonly CasOperation[],
    opts: CallOptions,
  ): Promise<Result<readonly CasResult[], KeyValueError>> {
    const tooLarge = operations.some(({ value }) => Buffer.byteLength(value ?? '') > KEY_VALUE_MAX_BYTES);
    if (tooLarge) return fail({ code: KeyValueErrorCode.TooLarge, message: 'a value is larger than 1 MB' });
    const answer = await this.ask('/v3/kv/txn', { success: operations.map(toTxn) }, txnSchema, opts, true);
    if (!answer.success) return answer;
    const { header, responses } = answer.data;
    return ok(responses.map(({ response_txn: txn }): CasResult => {
      if (txn.succeeded) return { applied: true, version: header.revision };
      const pair = txn.responses[0]?.response_range?.kvs[0];
      return { applied: false, current: pair === undefined ? null : toEntry(pair) };
    }));
  }

  public async leaseGrant(ttlMs: number, opts: CallOptions): Promise<Result<string, KeyValueError>> {
    const ttl = String(Math.ceil(ttlMs / MS_PER_SECOND));
    const answer = await this.ask('/v3/lease/grant', { TTL: ttl }, leaseSchema, opts, true);
    return answer.success ? ok(answer.data.ID) : answer;
  }

  public async leaseRenew(leaseId: string, opts: CallOptions): Promise<Result<void, KeyValueError>> {
    const answer = await this.ask('/v3/lease/keepalive', { ID: leaseId }, keepAliveSchema, opts, true);
    if (!answer.success) return answer;
    if (answer.data.result.TTL > 0) return ok(undefined);
    return fail({ code: KeyValueErrorCode.LeaseNotFound, message: 'the lease has expired' });
  }

  public async leaseRevoke(leaseId: string, opts: CallOptions): Promise<Result<void, KeyValueError>> {
    const answer = await this.ask('/v3/lease/revoke', { ID: leaseId }, z.unknown(), opts, true);
    return answer.success ? ok(undefined) : answer;
  }

  public async* watch(prefix: string, fromVersion: number, signal: AbortSignal): AsyncIterable<WatchEvent> {
    const answer = await this.watches.send({
      method: 'POST',
      path: '/v3/watch',
      body: {
        create_request: { key: encode(prefix), range_end: prefixEnd(prefix), start_revision: String(fromVersion) },
      },
      timeoutMs: 10 * MS_PER_SECOND,
      signal,
      streaming: true,
    });
    if (!answer.success) return;
    let rest = '';
    try {
      for await (const chunk of readText(answer.data)) {
        const lines = (rest + chunk).split('\n');
        rest = lines.pop() ?? '';
        for (const line of lines.filter((text) => text.trim() !== '')) yield* this.parseWatchLine(line);
      }
    } catch {
      // A broken watch ends like a closed one; the reader resumes by version.
    }
  }

  public dispose(): void {
    void this.connection.close();
    void this.watches.close();
  }

  private* parseWatchLine(line: string): Iterable<WatchEvent> {
    const parsed = watchSchema.safeParse(JSON.parse(line));
    if (!parsed.success) return;
    for (const { type, kv } of parsed.data.result.events) {
      const entry = toEntry(kv);
      if (type === 'PUT') yield { type: 'put', entry };
      else yield { type: 'delete', key: entry.key, version: entry.version };
    }
  }

  private async ask<T>(
    path: string,
    body: unknown,
    schema: z.ZodType<T>,
    opts: CallOptions,
    write: boolean,
  ): Promise<Result<T, KeyValueError>> {
    const answer = await this.connection.json({
      ...opts, method: 'POST', path, body,
    });
    if (!answer.success) return fail(this.fromFailure(answer.error, write));
    if (answer.data.status !== HTTP_OK) return fail(this.fromStatus(answer.data.body, write));
    const parsed = schema.safeParse(answer.data.body);
    return parsed.success ? ok(parsed.data) : fail(this.fromStatus(null, write));
  }

  private fromFailure(failure: HttpFailure, write: boolean): KeyValueError {
    const code = write && failure.sent ? KeyValueErrorCode.OutcomeUnknown : KeyValueErrorCode.Unavailable;
    return { code, message: failure.message };
  }

  private fromStatus(body: unknown, write: boolean): KeyValueError {
    const parsed = errorSchema.safeParse(body);
    const message = parsed.success ? parsed.data.message : 'unexpected answer';
    const known = parsed.success ? CODES.get(parsed.data.code) : undefined;
    const lost = write ? KeyValueErrorCode.OutcomeUnknown : KeyValueErrorCode.Unavailable;
    return { code: known ?? lost, message };
  }
}
