import { createServer } from 'node:http';
import { listenOnFreePort } from './listen.js';

/** One call to the provider as it received it. */
export interface ProviderCall {
  readonly path: string;
  readonly holder: string;
  readonly token: number;
  readonly body: Record<string, unknown>;
}

/** Stand-in for the provider of backend servers; it accepts all calls. */
export class ProviderStandIn {
  public address = '';

  /** Received calls, in order. */
  public readonly calls: ProviderCall[] = [];

  private readonly server = createServer((req, res) => {
    void (async () => {
      const chunks: Buffer[] = [];
      for await (const chunk of req) chunks.push(chunk as Buffer);
      this.calls.push({
        path: req.url ?? '',
        holder: String(req.headers['catkinscale-duty-holder']),
        token: Number(req.headers['catkinscale-fencing-token']),
        body: JSON.parse(Buffer.concat(chunks).toString()) as Record<string, unknown>,
      });
      res.end();
    })();
  });

  public async start(): Promise<void> {
    this.address = await listenOnFreePort(this.server);
  }

  public stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}
