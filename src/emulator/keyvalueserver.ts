import type { Server, ServerResponse } from 'node:http';
import type {
  CasOperation, CasResult, KeyValueEntry, WatchEvent,
} from '../core/interfaces/index.js';
import type { KeyValueStore } from './keyvalue.js';
import { answerJson, startStandIn } from './server.js';

interface Pair {
  readonly key: string;
  readonly range_end?: string;
}

interface Put extends Pair {
  readonly value: string;
  readonly lease?: string;
}

interface Transaction {
  readonly compare?: readonly { readonly key: string; readonly mod_revision?: string }[];
  readonly success?: readonly {
    readonly request_put?: Put;
    readonly request_delete_range?: Pair;
    readonly request_txn?: Transaction;
  }[];
}

const GRPC_NOT_FOUND = 5;
const GRPC_UNAVAILABLE = 14;
const MS_PER_SECOND = 1_000;

function decode(text: string): string {
  return Buffer.from(text, 'base64').toString();
}

function encode(text: string): string {
  return Buffer.from(text).toString('base64');
}

function toPair(entry: KeyValueEntry): Record<string, string> {
  return {
    key: encode(entry.key),
    value: encode(entry.value),
    mod_revision: String(entry.version),
    ...(entry.leaseId === undefined ? {} : { lease: entry.leaseId }),
  };
}

function toOperation(txn: Transaction): CasOperation {
  const change = txn.success?.[0];
  const compare = txn.compare?.[0];
  const put = change?.request_put;
  const leaseId = put?.lease === undefined || put.lease === '0' ? undefined : put.lease;
  return {
    key: decode(compare?.key ?? ''),
    expected: Number(compare?.mod_revision ?? 0),
    value: put === undefined ? null : decode(put.value),
    ...(leaseId === undefined ? {} : { leaseId }),
  };
}

function toResponse(result: CasResult): unknown {
  if (result.applied) return { response_txn: { succeeded: true } };
  const kvs = result.current === null ? [] : [toPair(result.current)];
  return { response_txn: { succeeded: false, responses: [{ response_range: { kvs } }] } };
}

function toWatchLine(event: WatchEvent): string {
  const change = event.type === 'put'
    ? { type: 'PUT', kv: toPair(event.entry) }
    : { type: 'DELETE', kv: { key: encode(event.key), mod_revision: String(event.version) } };
  return `${JSON.stringify({ result: { events: [change] } })}\n`;
}

function missingLease(store: KeyValueStore, txn: Transaction): boolean {
  return (txn.success ?? []).some((operation) => {
    const lease = operation.request_txn?.success?.[0]?.request_put?.lease;
    return lease !== undefined && lease !== '0' && !store.hasLease(lease);
  });
}

function watch(store: KeyValueStore, body: unknown, res: ServerResponse): void {
  const request = (body as { create_request: Pair & { start_revision?: string } }).create_request;
  const watcher = store.addWatcher(decode(request.key), Number(request.start_revision ?? 0));
  const flush = (): void => {
    for (const event of watcher.pending.splice(0)) res.write(toWatchLine(event));
    if (!watcher.broken) return;
    store.removeWatcher(watcher);
    res.end();
  };
  watcher.wake = flush;
  res.once('close', () => store.removeWatcher(watcher));
  res.writeHead(200, { 'content-type': 'application/json' });
  res.flushHeaders();
  flush();
}

/** Serves the stand-in over HTTP in the JSON mapping of the etcd v3 API, as far as the adapter uses it. */
export function startKeyValueServer(store: KeyValueStore, address: string): Promise<Server> {
  const count = (method: string): void => {
    Object.assign(store.calls, { [method]: (store.calls[method] ?? 0) + 1 });
  };
  const guarded = (method: string, action: (body: unknown, res: ServerResponse) => void) => (
    body: unknown,
    _req: unknown,
    res: ServerResponse,
  ): void => {
    count(method);
    if (store.down) {
      answerJson(res, 503, { code: GRPC_UNAVAILABLE, message: 'the service is down' });
      return;
    }
    action(body, res);
  };
  return startStandIn(address, {
    'POST /v3/kv/range': guarded('range', (body, res) => {
      const { key, range_end: end } = body as Pair;
      const single = store.read(decode(key));
      const entries = end === undefined ? [single] : store.list(decode(key));
      answerJson(res, 200, { kvs: entries.filter((entry) => entry !== null).map(toPair) });
    }),
    'POST /v3/kv/txn': guarded('transact', (body, res) => {
      const txn = body as Transaction;
      if (missingLease(store, txn)) {
        answerJson(res, 404, { code: GRPC_NOT_FOUND, message: 'requested lease not found' });
        return;
      }
      const results = store.applyAll((txn.success ?? []).map((operation) => toOperation(operation.request_txn ?? {})));
      const revision = results.reduce((highest, result) => (
        result.applied ? Math.max(highest, result.version) : highest
      ), 0);
      if (store.loseAnswers > 0) {
        Object.assign(store, { loseAnswers: store.loseAnswers - 1 });
        res.destroy();
        return;
      }
      answerJson(res, 200, { header: { revision: String(revision) }, responses: results.map(toResponse) });
    }),
    'POST /v3/lease/grant': guarded('leaseGrant', (body, res) => {
      const ttlMs = Number((body as { TTL: string }).TTL) * MS_PER_SECOND;
      answerJson(res, 200, { ID: store.grant(ttlMs), TTL: String(ttlMs / MS_PER_SECOND) });
    }),
    'POST /v3/lease/keepalive': guarded('leaseRenew', (body, res) => {
      const { ID } = body as { ID: string };
      answerJson(res, 200, { result: { ID, TTL: store.renew(ID) ? '1' : '0' } });
    }),
    'POST /v3/lease/revoke': guarded('leaseRevoke', (body, res) => {
      store.revoke((body as { ID: string }).ID);
      answerJson(res, 200, {});
    }),
    'POST /v3/watch': guarded('watch', (body, res) => watch(store, body, res)),
  });
}
