import { Buffer } from 'node:buffer';
import { Agent, createServer, request } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout as wait } from 'node:timers/promises';

/** Backend server of a plain service or of an engine, by the section on replicas in PROTOCOL.md. */
export class Server {
  address = '';

  connections = new Set();

  /** `answer` gets the request, the response and the body once the whole request has arrived. */
  constructor(id, answer) {
    this.id = id;
    this.server = createServer({ keepAliveTimeout: 10_000 }, async (req, res) => {
      const chunks = [];
      try {
        for await (const chunk of req) chunks.push(chunk);
      } catch {
        return;
      }
      const requestId = req.headers['catkinscale-request-id'];
      if (requestId !== undefined) res.setHeader('Catkinscale-Request-Id', requestId);
      const expected = req.headers['catkinscale-expect-instance'];
      if (expected !== undefined && expected !== id) {
        res.writeHead(421, { 'Content-Length': 0 });
        res.end();
        return;
      }
      answer(req, res, Buffer.concat(chunks));
    });
    this.server.on('connection', (socket) => {
      this.connections.add(socket);
      socket.on('close', () => this.connections.delete(socket));
    });
  }

  /** Listens on a free port, or on `port`. */
  async start(ip = '127.0.0.1', port = 0) {
    await new Promise((resolve) => {
      this.server.listen(port, ip, resolve);
    });
    this.port = this.server.address().port;
    this.address = `${ip}:${this.port}`;
  }

  /** Ends at once, as a process that crashes: all connections are reset. */
  crash() {
    this.server.close();
    for (const socket of this.connections) socket.resetAndDestroy();
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Value of the server's entry in the store. */
  entry(service, changes = {}) {
    return JSON.stringify({
      service,
      address: this.address,
      zone: 'regina',
      version: 1,
      slots: 6,
      state: 'ready',
      'cold-remaining-ms': 0,
      sequence: 1,
      born: Date.now(),
      ...changes,
    });
  }
}

/** Signed whole answer of a server. */
export function answerSigned(res, id, body, status = 200) {
  res.writeHead(status, {
    'Catkinscale-Server-Signature': `signed.${id}`, 'Content-Type': 'text/plain', 'Content-Length': Buffer.byteLength(body),
  });
  res.end(body);
}

/** Client that sends one request after another on one kept connection. */
export class Client {
  agent = new Agent({ keepAlive: true, maxSockets: 1 });

  sent = 0;

  constructor(name, address, host) {
    const [ip, port] = address.split(':');
    Object.assign(this, {
      name, ip, port: Number(port), host,
    });
  }

  /** Sends one request; `connection` tells how many requests the connection had before. */
  send({
    method = 'GET', path, headers = {}, body = '', deadlineMs = 3_000, id,
  }) {
    this.sent += 1;
    const requestId = id ?? `${this.name}-${this.sent}`;
    return new Promise((resolve) => {
      const started = performance.now();
      const result = {
        id: requestId, status: null, complete: false, signature: null, body: '', error: null, reused: false, took: 0,
      };
      const finish = () => {
        result.took = Math.round(performance.now() - started);
        resolve(result);
      };
      const req = request({
        host: this.ip,
        port: this.port,
        method,
        path,
        agent: this.agent,
        headers: {
          Host: this.host,
          'Catkinscale-Request-Id': requestId,
          'Catkinscale-Deadline-Ms': String(deadlineMs),
          ...(method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) }),
          ...headers,
        },
      }, (res) => {
        result.status = res.statusCode;
        result.headers = res.headers;
        result.signature = res.headers['catkinscale-server-signature'] ?? null;
        res.on('data', (chunk) => {
          result.body += chunk;
        });
        res.on('error', (err) => {
          result.error = err.code ?? err.message;
        });
        res.on('close', () => {
          result.complete = res.complete;
          finish();
        });
      });
      req.on('error', (err) => {
        result.reused = req.reusedSocket;
        result.error = err.code ?? err.message;
        if (result.status === null) finish();
      });
      req.on('socket', () => {
        result.reused = req.reusedSocket;
      });
      req.setTimeout(deadlineMs, () => req.destroy(new Error('deadline')));
      req.end(body);
    });
  }

  close() {
    this.agent.destroy();
  }
}

/** Configuration of the operator with the routes and services given. */
export function configuration(version, routes, services) {
  return JSON.stringify({
    version,
    routes: routes.map((route) => ({
      'timeout-ms': 3_000, 'target-latency-ms': 300, priority: 0, 'max-attempts': 2, ...route,
    })),
    services,
    limits: {
      'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000,
    },
  });
}

export { wait };
