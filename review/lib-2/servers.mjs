// Stand-in of a replica of a plain service: registers in the store and runs the requests that are meant for it.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearInterval, setInterval } from 'node:timers';

const HEARTBEAT_MS = 1_200;

export class PlainServer {
  /** `run` answers one request whose body has been read. */
  constructor(store, {
    id, service, zone, slots = 6,
  }, run) {
    this.store = store;
    this.id = id;
    this.entry = {
      service, zone, version: '1', slots, state: 'ready', 'cold-remaining-ms': 0, sequence: 1,
    };
    this.server = createServer({ keepAliveTimeout: 10_000 }, (req, res) => {
      const chunks = [];
      req.on('data', (chunk) => chunks.push(chunk));
      req.on('end', () => {
        if (req.headers['catkinscale-expect-instance'] !== id) {
          res.writeHead(421, { 'catkinscale-instance-id': id, 'content-length': 0 });
          res.end();
        } else run(req, res, Buffer.concat(chunks));
      });
    });
  }

  async start(ip) {
    await new Promise((resolve) => {
      this.server.listen(0, ip, resolve);
    });
    Object.assign(this.entry, { address: `${ip}:${this.server.address().port}`, born: Date.now() });
    this.register();
    this.timer = setInterval(() => this.register(), HEARTBEAT_MS);
  }

  register() {
    this.entry.sequence += 1;
    this.store.put(`servers/${this.id}`, JSON.stringify(this.entry));
  }

  stop() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** Headers of a sound answer to a request. */
export function answerHeaders(req) {
  const id = req.headers['catkinscale-request-id'];
  return { 'content-type': 'application/octet-stream', 'catkinscale-request-id': id, 'catkinscale-server-signature': `s.${id}` };
}
