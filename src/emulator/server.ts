import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

/** Handles one request of a stand-in; the body is parsed JSON or `undefined`. */
export type StandInHandler = (body: unknown, req: IncomingMessage, res: ServerResponse) => Promise<void> | void;

/** Handlers by `<method> <path>`; a path that ends in `*` matches by prefix, and an exact path has precedence. */
export type StandInRoutes = Readonly<Record<string, StandInHandler>>;

async function readJson(req: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString();
  return text === '' ? undefined : JSON.parse(text);
}

/** Sends a JSON response. */
export function answerJson(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}

function findHandler(routes: StandInRoutes, req: IncomingMessage): StandInHandler | undefined {
  const path = (req.url ?? '').split('?')[0];
  const exact = routes[`${req.method} ${path}`];
  if (exact !== undefined) return exact;
  const key = Object.keys(routes).find((route) => (
    route.endsWith('*') && `${req.method} ${path}`.startsWith(route.slice(0, -1))
  ));
  return key === undefined ? undefined : routes[key];
}

/** Called with each routed request of a stand-in and its parsed body, before the handler runs. */
export type StandInRecorder = (req: IncomingMessage, body: unknown) => void;

async function handle(
  routes: StandInRoutes,
  req: IncomingMessage,
  res: ServerResponse,
  record: StandInRecorder,
): Promise<void> {
  const handler = findHandler(routes, req);
  if (handler === undefined) {
    answerJson(res, 404, { code: 'not_found', message: `no route ${req.method} ${req.url}` });
    return;
  }
  try {
    const body = await readJson(req);
    record(req, body);
    await handler(body, req, res);
  } catch (err) {
    if (!res.headersSent) answerJson(res, 500, { code: 'broken', message: String(err) });
    else res.destroy();
  }
}

/** Starts a stand-in on `<IP>:<port>`; port 0 takes a free port. Rejects if it cannot listen. */
export function startStandIn(
  address: string,
  routes: StandInRoutes,
  record: StandInRecorder = () => {},
): Promise<Server> {
  const [host, port] = address.split(':');
  const server = createServer((req, res) => {
    void handle(routes, req, res, record);
  });
  server.keepAliveTimeout = 60_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, () => resolve(server));
  });
}
