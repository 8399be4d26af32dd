import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { listenOnFreePort } from './listen.js';

/** One call as a backend server received it. */
export interface ReceivedCall {
  readonly method: string;
  readonly url: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Whether the connection was closed before the response was complete. */
  aborted: boolean;
}

/** JSON record under which a backend server is registered in the store; `changes` replaces or adds fields. */
export function createServerRecord(address: string, service: string, changes: object = {}): string {
  return JSON.stringify({
    service,
    address,
    zone: 'regina',
    version: 'v1',
    slots: 4,
    state: 'ready',
    'cold-remaining-ms': 0,
    born: 1,
    sequence: 1,
    ...changes,
  });
}

/** Stand-in for a backend server on a loopback port; the callback given by the test writes each response. */
export class ServerStandIn {
  public address = '';

  /** Number of calls whose headers have arrived; the body may still be missing. */
  public arrivedCalls = 0;

  public readonly received: ReceivedCall[] = [];

  private readonly server: Server;

  public constructor(public readonly id: string, answer: (res: ServerResponse, call: ReceivedCall) => void) {
    this.server = createServer((req, res) => {
      this.arrivedCalls += 1;
      void (async () => {
        const chunks: Buffer[] = [];
        for await (const chunk of req) chunks.push(chunk as Buffer);
        const call = {
          method: req.method ?? '',
          url: req.url ?? '',
          headers: req.headers,
          body: Buffer.concat(chunks).toString(),
          aborted: false,
        };
        res.on('close', () => {
          call.aborted = !res.writableFinished;
        });
        this.received.push(call);
        const callId = req.headers['catkinscale-request-id'];
        if (callId !== undefined) res.setHeader('Catkinscale-Request-Id', callId);
        answer(res, call);
      })();
    });
  }

  public async start(): Promise<void> {
    this.address = await listenOnFreePort(this.server);
  }

  public stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** JSON record under which this server is registered in the store. */
  public serverRecord(service: string, changes: object = {}): string {
    return createServerRecord(this.address, service, changes);
  }
}

/** Sends a response that carries the server signature header. */
export function sendSignedResponse(res: ServerResponse, body: string, status = 200): void {
  res.writeHead(status, { 'Catkinscale-Server-Signature': 's1', 'Content-Length': Buffer.byteLength(body) });
  res.end(body);
}

/** Sends a response which states that the server did not execute the call. */
export function sendNotExecuted(res: ServerResponse, status = 503): void {
  res.writeHead(status, { 'Catkinscale-Not-Executed': '1', 'Content-Length': 0 });
  res.end();
}
