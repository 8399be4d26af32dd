import { z } from 'zod';
import { KEY_VALUE_MAX_BYTES, KeyValueErrorCode } from '../core/interfaces/index.js';
import type {
  CallOptions, CasOperation, CasResult, KeyValue, KeyValueEntry, KeyValueError, WatchEvent,
} from '../core/interfaces/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { HttpConnection, readText } from './http.js';
import type { HttpFailure } from './http.js';

/** 64-bit integer; the JSON mapping of protocol buffers encodes it as a decimal string. */
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
/** gRPC status codes (NOT_FOUND, RESOURCE_EXHAUSTED) that map to their own error code. */
const ERROR_CODES: ReadonlyMap<number, KeyValueErrorCode> = new Map([
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

/** Returns the smallest key that is greater than every key with the prefix, encoded in Base64. */
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

/** Encodes one compare-and-swap as a nested etcd transaction, which reads the current value if the compare fails. */
function toTransaction(operation: CasOperation): unknown {
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

/** Client of a key-value service over the JSON mapping of the etcd v3 API, where each transaction is one call. */
export class HttpKeyValue implements KeyValue {
  private readonly connection: HttpConnection;

  private readonly watchConnection: HttpConnection;

  public constructor(address: string) {
    this.connection = new HttpConnection(address);
    this.watchConnection = new HttpConnection(address);
  }

  public async get(key: string, opts: CallOptions): Promise<Result<KeyValueEntry | null, KeyValueError>> {
    const response = await this.requestParsed('/v3/kv/range', { key: encode(key) }, rangeSchema, opts, false);
    if (!response.success) return response;
    const pair = response.data.kvs[0];
    return ok(pair === undefined ? null : toEntry(pair));
  }

  public async range(prefix: string, opts: CallOptions): Promise<Result<readonly KeyValueEntry[], KeyValueError>> {
    const body = {
      key: encode(prefix), range_end: prefixEnd(prefix), sort_target: 'KEY', sort_order: 'ASCEND',
    };
    const response = await this.requestParsed('/v3/kv/range', body, rangeSchema, opts, false);
    return response.success ? ok(response.data.kvs.map(toEntry)) : response;
  }

  public async transact(
    operations: readonly CasOperation[],
    opts: CallOptions,
  ): Promise<Result<readonly CasResult[], KeyValueError>> {
    const tooLarge = operations.some(({ value }) => Buffer.byteLength(value ?? '') > KEY_VALUE_MAX_BYTES);
    if (tooLarge) return fail({ code: KeyValueErrorCode.TooLarge, message: 'a value is larger than 1 MB' });
    const response = await this.requestParsed('/v3/kv/txn', { success: operations.map(toTransaction) }, txnSchema, opts, true);
    if (!response.success) return response;
    const { header, responses } = response.data;
    return ok(responses.map(({ response_txn: txn }): CasResult => {
      if (txn.succeeded) return { applied: true, version: header.revision };
      const pair = txn.responses[0]?.response_range?.kvs[0];
      return { applied: false, current: pair === undefined ? null : toEntry(pair) };
    }));
  }

  public async leaseGrant(ttlMs: number, opts: CallOptions): Promise<Result<string, KeyValueError>> {
    const ttl = String(Math.ceil(ttlMs / MS_PER_SECOND));
    const response = await this.requestParsed('/v3/lease/grant', { TTL: ttl }, leaseSchema, opts, true);
    return response.success ? ok(response.data.ID) : response;
  }

  public async leaseRenew(leaseId: string, opts: CallOptions): Promise<Result<void, KeyValueError>> {
    const response = await this.requestParsed('/v3/lease/keepalive', { ID: leaseId }, keepAliveSchema, opts, true);
    if (!response.success) return response;
    if (response.data.result.TTL > 0) return ok(undefined);
    return fail({ code: KeyValueErrorCode.LeaseNotFound, message: 'the lease has expired' });
  }

  public async leaseRevoke(leaseId: string, opts: CallOptions): Promise<Result<void, KeyValueError>> {
    const response = await this.requestParsed('/v3/lease/revoke', { ID: leaseId }, z.unknown(), opts, true);
    return response.success ? ok(undefined) : response;
  }

  public async* watch(prefix: string, fromVersion: number, signal: AbortSignal): AsyncIterable<WatchEvent> {
    const response = await this.watchConnection.send({
      method: 'POST',
      path: '/v3/watch',
      body: {
        create_request: { key: encode(prefix), range_end: prefixEnd(prefix), start_revision: String(fromVersion) },
      },
      timeoutMs: 10 * MS_PER_SECOND,
      signal,
      streaming: true,
    });
    if (!response.success) return;
    let partialLine = '';
    try {
      for await (const chunk of readText(response.data)) {
        const lines = (partialLine + chunk).split('\n');
        partialLine = lines.pop() ?? '';
        for (const line of lines.filter((text) => text.trim() !== '')) yield* this.parseWatchLine(line);
      }
    } catch {
      // A broken watch ends the stream like a closed one; the reader starts a new watch from its last version.
    }
  }

  public dispose(): void {
    void this.connection.close();
    void this.watchConnection.close();
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

  private async requestParsed<T>(
    path: string,
    body: unknown,
    schema: z.ZodType<T>,
    opts: CallOptions,
    isWrite: boolean,
  ): Promise<Result<T, KeyValueError>> {
    const response = await this.connection.requestJson({
      ...opts, method: 'POST', path, body,
    });
    if (!response.success) return fail(this.errorFromFailure(response.error, isWrite));
    if (response.data.status !== HTTP_OK) return fail(this.errorFromBody(response.data.body, isWrite));
    const parsed = schema.safeParse(response.data.body);
    return parsed.success ? ok(parsed.data) : fail(this.errorFromBody(null, isWrite));
  }

  private errorFromFailure(failure: HttpFailure, isWrite: boolean): KeyValueError {
    const code = isWrite && failure.sent ? KeyValueErrorCode.OutcomeUnknown : KeyValueErrorCode.Unavailable;
    return { code, message: failure.message };
  }

  private errorFromBody(body: unknown, isWrite: boolean): KeyValueError {
    const parsed = errorSchema.safeParse(body);
    const message = parsed.success ? parsed.data.message : 'unexpected answer';
    const knownCode = parsed.success ? ERROR_CODES.get(parsed.data.code) : undefined;
    const fallbackCode = isWrite ? KeyValueErrorCode.OutcomeUnknown : KeyValueErrorCode.Unavailable;
    return { code: knownCode ?? fallbackCode, message };
  }
}
