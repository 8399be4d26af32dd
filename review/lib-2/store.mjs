// Stand-in of the platform's store: items, ranges, watches, transactions and leases, as PROTOCOL.md describes them.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import {
  clearTimeout, setInterval, clearInterval, setTimeout,
} from 'node:timers';
import { URL } from 'node:url';

const LEASE_CHECK_MS = 50;

async function readJson(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : JSON.parse(text);
}

export class Store {
  constructor() {
    this.items = new Map();
    this.leases = new Map();
    this.changes = [];
    this.revision = 100;
    this.lastLease = 0;
    this.waiting = new Set();
    this.server = createServer((req, res) => {
      this.handle(req, res).catch(() => res.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async start(ip) {
    await new Promise((resolve) => {
      this.server.listen(0, ip, resolve);
    });
    this.address = `${ip}:${this.server.address().port}`;
    this.timer = setInterval(() => this.expireLeases(), LEASE_CHECK_MS);
  }

  stop() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes an item; the call returns when the store has accepted it. */
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
    this.changed({ key, revision: this.revision, event: item });
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.changed({ key, revision: this.revision, event: { key, revision: this.revision, tombstone: true } });
  }

  changed(change) {
    this.changes.push(change);
    for (const wake of [...this.waiting]) wake();
  }

  expireLeases() {
    const now = Date.now();
    for (const [lease, { endsAt }] of [...this.leases]) if (endsAt <= now) this.endLease(lease);
  }

  endLease(lease) {
    this.leases.delete(lease);
    for (const { key, lease: holder } of [...this.items.values()]) if (holder === lease) this.remove(key);
  }

  async handle(req, res) {
    const body = await readJson(req);
    const url = new URL(req.url, 'http://store');
    const [status, answer] = await this.answer(req.method, url, body);
    const text = JSON.stringify(answer);
    res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) });
    res.end(text);
  }

  async answer(method, url, body) {
    const query = url.searchParams;
    const prefix = query.get('path-prefix') ?? '';
    if (method === 'GET' && url.pathname === '/kv-key') {
      const item = this.items.get(query.get('key'));
      return item === undefined ? [404, {}] : [200, { ...item, 'store-revision': this.revision }];
    }
    if (method === 'GET' && url.pathname === '/kv-range') {
      const after = query.get('after') ?? '';
      const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      return [200, { items, 'has-more': false, 'store-revision': this.revision }];
    }
    if (method === 'GET' && url.pathname === '/kv-watch') {
      return this.watch(prefix, Number(query.get('after')), Number(query.get('wait-ms')));
    }
    if (method === 'POST' && url.pathname === '/kv-txn') return this.transact(body);
    if (method === 'POST' && url.pathname === '/kv-lease') {
      this.lastLease += 1;
      this.leases.set(this.lastLease, { ttlMs: body['ttl-ms'], endsAt: Date.now() + body['ttl-ms'] });
      return [200, { lease: this.lastLease, 'ttl-ms': body['ttl-ms'] }];
    }
    const lease = Number(url.pathname.split('/').at(-1));
    if (!this.leases.has(lease)) return [404, {}];
    if (url.pathname.startsWith('/kv-keep/')) {
      const held = this.leases.get(lease);
      held.endsAt = Date.now() + held.ttlMs;
      return [200, { lease, 'ttl-ms': held.ttlMs }];
    }
    this.endLease(lease);
    return [200, {}];
  }

  async watch(prefix, after, waitMs) {
    const read = () => this.changes.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
    const endsAt = Date.now() + waitMs;
    while (read().length === 0 && Date.now() < endsAt) {
      await new Promise((resolve) => {
        let timer = null;
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        timer = setTimeout(wake, endsAt - Date.now());
        this.waiting.add(wake);
      });
    }
    return [200, { events: read().map(({ event }) => event), 'store-revision': this.revision }];
  }

  transact({ expected = [], writes = [], remove = [] }) {
    const isCurrent = ({ key, revision }) => (this.items.get(key)?.revision ?? 0) === revision;
    if (!expected.every(isCurrent)) {
      return [412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) }];
    }
    if (writes.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return [404, {}];
    for (const { key, value, lease = 0 } of writes) this.put(key, Buffer.from(value, 'base64').toString(), lease);
    for (const key of remove) this.remove(key);
    return [200, { revision: this.revision }];
  }
}
