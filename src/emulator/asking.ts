import { Agent, request as httpRequest } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';

/** Answer as a caller sees it. */
export interface Answer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer ended before its end. */
  readonly broken: boolean;
  readonly tookMs: number;
}

/** What a caller sends beside the path. */
export interface AskOptions {
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

const agent = new Agent({ keepAlive: true });

let ids = 0;

/** Sends one call to `shop.example` at an address and waits for the end of its answer. */
export function askAt(address: string, path: string, opts: AskOptions = {}): Promise<Answer> {
  const [host, port] = address.split(':');
  ids += 1;
  const startedAt = performance.now();
  return new Promise((resolve) => {
    const req = httpRequest({
      host,
      port,
      path,
      agent,
      method: opts.method ?? 'GET',
      headers: { host: 'shop.example', 'catkinscale-request-id': `id${ids}`, ...opts.headers },
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
