import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as wait } from 'node:timers/promises';
import { URL } from 'node:url';

const PAGE_ITEMS = 500;

const MIN_LEASE_MS = 1_000;

async function readJson(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : JSON.parse(text);
}

/** Stand-in for the platform's store, by the section on the metadata store in PROTOCOL.md. */
export class Store {
  address = '';

  /** Keys that the system has written, for checks. */
  writes = [];

  items = new Map();

  changes = [];

  revision = 10;

  leases = new Map();

  lastLease = 0;

  server = createServer((req, res) => {
    this.handle(req, res).catch(() => res.destroy());
  });

  async start(ip = '127.0.0.1') {
    await new Promise((resolve) => {
      this.server.listen(0, ip, resolve);
    });
    this.address = `${ip}:${this.server.address().port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
    for (const { timer } of this.leases.values()) clearTimeout(timer);
  }

  /** Writes an item; `value` is text or bytes. */
  put(key, value, lease = 0) {
    this.revision += 1;
    const item = {
      key,
      value: Buffer.from(value).toString('base64'),
      revision: this.revision,
      created: this.items.get(key)?.created ?? this.revision,
      lease,
    };
    this.items.set(key, item);
    this.changes.push({ key, revision: this.revision, event: item });
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.changes.push({ key, revision: this.revision, event: { key, revision: this.revision, tombstone: true } });
  }

  async handle(req, res) {
    const url = new URL(req.url, 'http://store');
    const body = await readJson(req);
    const [status, answer] = await this.answer(req.method, url, body);
    const text = JSON.stringify(answer);
    res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) });
    res.end(text);
  }

  answer(method, url, body) {
    const query = url.searchParams;
    const call = `${method} ${url.pathname}`;
    if (call === 'GET /kv-key') {
      const item = this.items.get(query.get('key'));
      return item === undefined ? [404, {}] : [200, { ...item, 'store-revision': this.revision }];
    }
    if (call === 'GET /kv-range') return this.range(query.get('path-prefix') ?? '', query.get('after') ?? '');
    if (call === 'GET /kv-watch') {
      return this.watch(query.get('path-prefix') ?? '', Number(query.get('after')), Number(query.get('wait-ms')));
    }
    if (call === 'POST /kv-txn') return this.transact(body);
    if (call === 'POST /kv-lease') {
      const ttlMs = Math.max(MIN_LEASE_MS, body['ttl-ms']);
      this.lastLease += 1;
      const lease = this.lastLease;
      this.leases.set(lease, { ttlMs, timer: setTimeout(() => this.endLease(lease), ttlMs) });
      return [200, { lease, 'ttl-ms': ttlMs }];
    }
    const id = Number(url.pathname.split('/').at(-1));
    const lease = this.leases.get(id);
    if (lease === undefined) return [404, {}];
    if (method === 'DELETE') this.endLease(id);
    else {
      clearTimeout(lease.timer);
      lease.timer = setTimeout(() => this.endLease(id), lease.ttlMs);
    }
    return [200, { lease: id, 'ttl-ms': lease.ttlMs }];
  }

  range(prefix, after) {
    const found = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const items = found.slice(0, PAGE_ITEMS);
    return [200, { items, 'has-more': found.length > items.length, 'store-revision': this.revision }];
  }

  async watch(prefix, after, waitMs) {
    const deadline = performance.now() + waitMs;
    for (;;) {
      const events = this.changes.filter(({ key, revision }) => key.startsWith(prefix) && revision > after)
        .map(({ event }) => event);
      if (events.length > 0 || performance.now() >= deadline) {
        return [200, { events, 'store-revision': this.revision }];
      }
      await wait(5);
    }
  }

  transact({ expected = [], writes = [], remove = [] }) {
    const isForeign = ({ key }) => key.startsWith('op/') || key.startsWith('servers/');
    if (writes.some(isForeign) || remove.some((key) => isForeign({ key }))) return [403, {}];
    if (writes.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return [404, {}];
    const revisionOf = (key) => this.items.get(key)?.revision ?? 0;
    if (expected.some(({ key, revision }) => revisionOf(key) !== revision)) {
      return [412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) }];
    }
    for (const { key, value, lease = 0 } of writes) {
      this.writes.push(key);
      this.put(key, Buffer.from(value, 'base64'), lease);
    }
    for (const key of remove) this.remove(key);
    return [200, { revision: this.revision }];
  }

  endLease(id) {
    const lease = this.leases.get(id);
    if (lease === undefined) return;
    clearTimeout(lease.timer);
    this.leases.delete(id);
    for (const item of [...this.items.values()]) if (item.lease === id) this.remove(item.key);
  }
}
