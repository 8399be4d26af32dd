import { fork } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';
import type { UpstreamOptions } from './upstream.js';

/** What a child process of the bench runs: the emulated platform with engines, a minimal proxy, or an entry. */
export type ChildTask =
  | { readonly role: 'upstream'; readonly engines: number; readonly upstream: UpstreamOptions }
  | { readonly role: 'pipe' }
  | { readonly role: 'entry' };

/** Resources that a child process has used. */
export interface ResourceUsage {
  /** User and system CPU time in ms since the start of the process. */
  readonly cpuMs: number;
  /** Resident memory in bytes after a garbage collection. */
  readonly residentBytes: number;
}

/** First port of the range that the bench listens on; nothing else in this repository uses the range. */
const BASE_PORT = 23_000;

/** Port of the emulated key-value service. */
export const KEY_VALUE_PORT = BASE_PORT + 1;
/** Port of the emulated host list and weight store. */
export const PLATFORM_PORT = BASE_PORT + 2;
/** Port of the minimal proxy. */
export const PIPE_PORT = BASE_PORT + 3;
/** Port at which the measured entry serves callers. */
export const CALLER_PORT = BASE_PORT + 4;
/** Port at which the measured entry serves operators. */
export const OPERATOR_PORT = BASE_PORT + 5;
/** Port at which the measured entry serves its peers. */
export const PEER_PORT = BASE_PORT + 6;
/** Port of the first engine; the others use the ports after it. */
export const ENGINE_PORT = BASE_PORT + 100;

/** Operator token of the measured entry. */
export const OPERATOR_TOKEN = 'bench-operator-token';

/** Settings file of the measured entry. */
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

/** Environment variables with the secrets of the measured entry. */
export const SECRET_ENVIRONMENT = {
  CATKINSCALE_OPERATOR_TOKEN: OPERATOR_TOKEN,
  CATKINSCALE_PEER_TOKEN: 'bench-peer-token-0000',
  CATKINSCALE_TICKET_KEY: 'bench-ticket-key-0000',
};

/** Returns a fleet file with `engines` engines at the ports of the bench. */
export function createBenchFleetFile(engines: number): string {
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

/** Path of the bundled child program, which is built once per bench run. */
let childBundle: Promise<string> | null = null;

/** Bundles the child program like the released one, because the development loader makes every function slower. */
async function bundleChild(): Promise<string> {
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

  /** Starts a child process and waits until it is ready. Rejects if the process exits first. */
  public static async start(task: ChildTask): Promise<Child> {
    childBundle ??= bundleChild();
    const child = fork(await childBundle, [JSON.stringify(task)], {
      execArgv: ['--expose-gc'],
      env: { ...process.env, ...SECRET_ENVIRONMENT },
      stdio: ['ignore', 'ignore', 'inherit', 'ipc'],
    });
    const started = new Child(child);
    await started.nextMessage();
    return started;
  }

  /** Asks the child process for the resources it has used. Rejects if the process exits first. */
  public async usage(): Promise<ResourceUsage> {
    this.child.send('usage');
    return await this.nextMessage() as ResourceUsage;
  }

  /** Kills the child process and waits until it has exited. */
  public async stop(): Promise<void> {
    const exited = new Promise<void>((resolve) => {
      this.child.once('exit', () => resolve());
    });
    this.child.kill('SIGKILL');
    await exited;
  }

  /** Resolves with the next message of the child process. */
  private nextMessage(): Promise<unknown> {
    return new Promise((resolve, reject) => {
      const rejectOnExit = (code: number | null): void => reject(new Error(`the child process ended with ${code}`));
      this.child.once('exit', rejectOnExit);
      this.child.once('message', (message) => {
        this.child.off('exit', rejectOnExit);
        resolve(message);
      });
    });
  }
}
