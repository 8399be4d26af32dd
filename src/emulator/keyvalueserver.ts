import type { Server, ServerResponse } from 'node:http';
import type {
  CasOperation, CasResult, KeyValueEntry, WatchEvent,
} from '../core/interfaces/index.js';
import type { KeyValueStore } from './keyvalue.js';
import { answerJson, startStandIn } from './server.js';

interface KeyRange {
  readonly key: string;
  readonly range_end?: string;
}

interface Put extends KeyRange {
  readonly value: string;
  readonly lease?: string;
}

interface Transaction {
  readonly compare?: readonly { readonly key: string; readonly mod_revision?: string }[];
  readonly success?: readonly {
    readonly request_put?: Put;
    readonly request_delete_range?: KeyRange;
    readonly request_txn?: Transaction;
  }[];
}

const GRPC_NOT_FOUND = 5;
const GRPC_UNAVAILABLE = 14;
const MS_PER_SECOND = 1_000;

function decodeBase64(text: string): string {
  return Buffer.from(text, 'base64').toString();
}

function encodeBase64(text: string): string {
  return Buffer.from(text).toString('base64');
}

function encodeEntry(entry: KeyValueEntry): Record<string, string> {
  return {
    key: encodeBase64(entry.key),
    value: encodeBase64(entry.value),
    mod_revision: String(entry.version),
    ...(entry.leaseId === undefined ? {} : { lease: entry.leaseId }),
  };
}

function decodeOperation(txn: Transaction): CasOperation {
  const change = txn.success?.[0];
  const compare = txn.compare?.[0];
  const put = change?.request_put;
  const leaseId = put?.lease === undefined || put.lease === '0' ? undefined : put.lease;
  return {
    key: decodeBase64(compare?.key ?? ''),
    expected: Number(compare?.mod_revision ?? 0),
    value: put === undefined ? null : decodeBase64(put.value),
    ...(leaseId === undefined ? {} : { leaseId }),
  };
}

function encodeResult(result: CasResult): unknown {
  if (result.applied) return { response_txn: { succeeded: true } };
  const kvs = result.current === null ? [] : [encodeEntry(result.current)];
  return { response_txn: { succeeded: false, responses: [{ response_range: { kvs } }] } };
}

function encodeWatchEvent(event: WatchEvent): string {
  const change = event.type === 'put'
    ? { type: 'PUT', kv: encodeEntry(event.entry) }
    : { type: 'DELETE', kv: { key: encodeBase64(event.key), mod_revision: String(event.version) } };
  return `${JSON.stringify({ result: { events: [change] } })}\n`;
}

function hasMissingLease(store: KeyValueStore, txn: Transaction): boolean {
  return (txn.success ?? []).some((operation) => {
    const lease = operation.request_txn?.success?.[0]?.request_put?.lease;
    return lease !== undefined && lease !== '0' && !store.hasLease(lease);
  });
}

function streamChanges(store: KeyValueStore, body: unknown, res: ServerResponse): void {
  const request = (body as { create_request: KeyRange & { start_revision?: string } }).create_request;
  const watcher = store.addWatcher(decodeBase64(request.key), Number(request.start_revision ?? 0));
  const flush = (): void => {
    for (const event of watcher.pending.splice(0)) res.write(encodeWatchEvent(event));
    if (!watcher.ended) return;
    store.removeWatcher(watcher);
    res.end();
  };
  watcher.wake = flush;
  res.once('close', () => store.removeWatcher(watcher));
  res.writeHead(200, { 'content-type': 'application/json' });
  res.flushHeaders();
  flush();
}

/** Serves the key-value store over HTTP in the JSON mapping of the etcd v3 API, limited to the calls of the adapter. */
export function startKeyValueServer(store: KeyValueStore, address: string): Promise<Server> {
  const countCall = (method: string): void => {
    Object.assign(store.calls, { [method]: (store.calls[method] ?? 0) + 1 });
  };
  const createHandler = (method: string, action: (body: unknown, res: ServerResponse) => void) => (
    body: unknown,
    _req: unknown,
    res: ServerResponse,
  ): void => {
    countCall(method);
    if (store.down) {
      answerJson(res, 503, { code: GRPC_UNAVAILABLE, message: 'the service is down' });
      return;
    }
    action(body, res);
  };
  return startStandIn(address, {
    'POST /v3/kv/range': createHandler('range', (body, res) => {
      const { key, range_end: end } = body as KeyRange;
      const single = store.read(decodeBase64(key));
      const entries = end === undefined ? [single] : store.list(decodeBase64(key));
      answerJson(res, 200, { kvs: entries.filter((entry) => entry !== null).map(encodeEntry) });
    }),
    'POST /v3/kv/txn': createHandler('transact', (body, res) => {
      const txn = body as Transaction;
      if (hasMissingLease(store, txn)) {
        answerJson(res, 404, { code: GRPC_NOT_FOUND, message: 'requested lease not found' });
        return;
      }
      const results = store.applyAll(
        (txn.success ?? []).map((operation) => decodeOperation(operation.request_txn ?? {})),
      );
      const revision = results.reduce((highest, result) => (
        result.applied ? Math.max(highest, result.version) : highest
      ), 0);
      if (store.loseAnswers > 0) {
        Object.assign(store, { loseAnswers: store.loseAnswers - 1 });
        res.destroy();
        return;
      }
      answerJson(res, 200, { header: { revision: String(revision) }, responses: results.map(encodeResult) });
    }),
    'POST /v3/lease/grant': createHandler('leaseGrant', (body, res) => {
      const ttlMs = Number((body as { TTL: string }).TTL) * MS_PER_SECOND;
      answerJson(res, 200, { ID: store.grant(ttlMs), TTL: String(ttlMs / MS_PER_SECOND) });
    }),
    'POST /v3/lease/keepalive': createHandler('leaseRenew', (body, res) => {
      const { ID } = body as { ID: string };
      answerJson(res, 200, { result: { ID, TTL: store.renew(ID) ? '1' : '0' } });
    }),
    'POST /v3/lease/revoke': createHandler('leaseRevoke', (body, res) => {
      store.revoke((body as { ID: string }).ID);
      answerJson(res, 200, {});
    }),
    'POST /v3/watch': createHandler('watch', (body, res) => streamChanges(store, body, res)),
  });
}
