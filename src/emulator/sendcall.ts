import { Agent, request as httpRequest } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';

/** HTTP response as a caller received it. `status` is 0 when the connection failed before a response began. */
export interface Answer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the connection closed before the response was complete. */
  readonly broken: boolean;
  readonly tookMs: number;
}

/** Method, headers and body of a call; the method is GET by default. */
export interface SendCallOptions {
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
  /** Connections to use; those that all calls share by default. */
  readonly agent?: Agent;
}

const sharedAgent = new Agent({ keepAlive: true });

let lastRequestNumber = 0;

/**
 * Sends one call for the host name `shop.example` to `<IP>:<port>` and waits until the response has ended. It never
 * rejects: connection errors are returned as a response with `broken` set.
 */
export function sendCall(address: string, path: string, opts: SendCallOptions = {}): Promise<Answer> {
  const [host, port] = address.split(':');
  lastRequestNumber += 1;
  const startedAt = performance.now();
  return new Promise((resolve) => {
    const req = httpRequest({
      host,
      port,
      path,
      agent: opts.agent ?? sharedAgent,
      method: opts.method ?? 'GET',
      headers: { host: 'shop.example', 'catkinscale-request-id': `id${lastRequestNumber}`, ...opts.headers },
    }, (res) => {
      let body = '';
      let broken = false;
      res.setEncoding('utf8');
      res.on('data', (chunk: string) => {
        body += chunk;
      });
      res.on('error', () => {
        broken = true;
      });
      res.on('close', () => resolve({
        status: res.statusCode ?? 0,
        headers: res.headers,
        body,
        broken: broken || !res.complete,
        tookMs: performance.now() - startedAt,
      }));
    });
    req.on('error', () => resolve({
      status: 0, headers: {}, body: '', broken: true, tookMs: performance.now() - startedAt,
    }));
    req.end(opts.body);
  });
}
