import { fork } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';
import type { UpstreamOptions } from './upstream.js';

/** Work of a child process of the bench. */
export type ChildTask =
  | { readonly role: 'upstream'; readonly engines: number; readonly upstream: UpstreamOptions }
  | { readonly role: 'pipe' }
  | { readonly role: 'entry' };

/** Resources that a child has used. */
export interface Usage {
  /** CPU time in ms since the start. */
  readonly cpuMs: number;
  /** Resident memory in bytes after a garbage collection. */
  readonly residentBytes: number;
}

/** First of the ports that the bench listens on; no other part of this repository uses them. */
const PORT = 23_000;

export const KEY_VALUE_PORT = PORT + 1;
export const PLATFORM_PORT = PORT + 2;
export const PIPE_PORT = PORT + 3;
export const CALLER_PORT = PORT + 4;
export const OPERATOR_PORT = PORT + 5;
export const PEER_PORT = PORT + 6;
export const ENGINE_PORT = PORT + 100;

export const OPERATOR_TOKEN = 'bench-operator-token';

/** Settings of the measured entry. */
export const ENTRY_SETTINGS = `
[entry]
name = bench
failure-domain = domain
[listen]
callers = 127.0.0.1:${CALLER_PORT}
operators = 127.0.0.1:${OPERATOR_PORT}
peers = 127.0.0.1:${PEER_PORT}
[platform]
key-value = 127.0.0.1:${KEY_VALUE_PORT}
host-list = 127.0.0.1:${PLATFORM_PORT}
weight-store = 127.0.0.1:${PLATFORM_PORT}
[address]
keep = 100 ms
`;

/** Environment with the secrets of the measured entry. */
export const SECRET_ENVIRONMENT = {
  CATKINSCALE_OPERATOR_TOKEN: OPERATOR_TOKEN,
  CATKINSCALE_PEER_TOKEN: 'bench-peer-token-0000',
  CATKINSCALE_TICKET_KEY: 'bench-ticket-key-0000',
};

/** Fleet file with engines at the ports of the bench. */
export function benchFleet(engines: number): string {
  const sections = Array.from({ length: engines }, (_, index) => [
    `[engine.engine-${index}]`,
    `address = 127.0.0.1:${ENGINE_PORT + index}`,
    `host = host-${index}`,
    'failure-domain = domain',
    'models = bench',
    'role = mixed',
    'fencing = enforced',
    '',
  ].join('\n'));
  return `[fleet]\nname = bench\n[model.bench]\nversion = 1\n[workspace.default]\nweight = 1\n${sections.join('')}`;
}

let bundled: Promise<string> | null = null;

/** Bundles the child program as the product is bundled; the development loader adds a cost to every function. */
async function bundle(): Promise<string> {
  const outfile = fileURLToPath(new URL('../../dist/bench/child.cjs', import.meta.url));
  await build({
    entryPoints: [fileURLToPath(new URL('./child.ts', import.meta.url))],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    logLevel: 'error',
    define: { 'import.meta.url': 'importMetaUrl' },
    banner: { js: "const importMetaUrl = require('node:url').pathToFileURL(__filename).href;" },
  });
  return outfile;
}

/** Child process of the bench. */
export class Child {
  private constructor(private readonly child: ChildProcess) {}

  /** Starts a child and waits until it is ready. */
  public static async start(task: ChildTask): Promise<Child> {
    bundled ??= bundle();
    const child = fork(await bundled, [JSON.stringify(task)], {
      execArgv: ['--expose-gc'],
      env: { ...process.env, ...SECRET_ENVIRONMENT },
      stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    });
    const started = new Child(child);
    await started.reply();
    return started;
  }

  public async usage(): Promise<Usage> {
    this.child.send('usage');
    return await this.reply() as Usage;
  }

  public async stop(): Promise<void> {
    const exited = new Promise<void>((resolve) => {
      this.child.once('exit', () => resolve());
    });
    this.child.kill('SIGKILL');
    await exited;
  }

  private reply(): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const failed = (code: number | null): void => reject(new Error(`the child process ended with ${code}`));
      this.child.once('exit', failed);
      this.child.once('message', (message) => {
        this.child.off('exit', failed);
        resolve(message);
      });
    });
  }
}
