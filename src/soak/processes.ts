import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { openSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { LinkProxy } from '../emulator/linkproxy.js';

const PORTS = {
  callers: 24_901, readiness: 24_902, peers: 24_903, directory: 24_904, metrics: 24_905, exchange: 24_906,
} as const;

const START_TIMEOUT_MS = 15_000;

/** Grace in ms of a planned stop. */
export const GRACE_MS = 4_000;

/** One gateway as a process, behind a path to the store of its own. */
export class GatewayProcess {
  public readonly callers: string;

  private readonly path: LinkProxy;

  private child: ChildProcess | null = null;

  private exited: Promise<number | null> = Promise.resolve(null);

  private starts = 0;

  public constructor(
    private readonly ip: string,
    private readonly opts: {
      readonly program: string;
      readonly directory: string;
      readonly store: string;
      readonly seeds: readonly string[];
    },
  ) {
    this.callers = `${ip}:${PORTS.callers}`;
    this.path = new LinkProxy(opts.store);
  }

  /** Starts the process and waits until it is ready. */
  public async start(): Promise<void> {
    const { program, directory } = this.opts;
    if (this.path.address === '') await this.path.start();
    this.starts += 1;
    const file = join(directory, `${this.ip}.ini`);
    writeFileSync(file, this.settings());
    const child = spawn(process.execPath, [program, 'gateway', file], {
      stdio: ['ignore', openSync(join(directory, `${this.ip}-${this.starts}.log`), 'w'), 'inherit'],
    });
    this.child = child;
    // Nothing that the soak has started outlives it.
    const killed = (): boolean => child.kill('SIGKILL');
    process.once('exit', killed);
    child.once('exit', () => process.off('exit', killed));
    this.exited = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    const until = performance.now() + START_TIMEOUT_MS;
    while (!await this.isReady() && child.exitCode === null && child.signalCode === null) {
      if (performance.now() > until) throw new Error(`${this.ip} is not ready; see ${directory}`);
      await wait(30);
    }
  }

  /** Cuts the path to the store for a time in ms. */
  public async cut(forMs: number): Promise<void> {
    this.path.silence();
    await wait(forMs);
    this.path.heal();
  }

  public resetPath(): void {
    this.path.reset();
  }

  public async pause(forMs: number): Promise<void> {
    const { child } = this;
    child?.kill('SIGSTOP');
    await wait(forMs);
    child?.kill('SIGCONT');
  }

  /** Sends a signal that ends the process, and gives its exit code. */
  public async end(signal: 'SIGKILL' | 'SIGTERM'): Promise<number | null> {
    this.child?.kill(signal);
    return this.exited;
  }

  public dispose(): void {
    this.child?.kill('SIGKILL');
    this.path.stop();
  }

  private async isReady(): Promise<boolean> {
    try {
      return (await fetch(`http://${this.ip}:${PORTS.readiness}/ready`)).status === 200;
    } catch {
      // The process has not opened its listener yet.
      return false;
    }
  }

  private settings(): string {
    return [
      '[gateway]', `name = ${this.ip}`, 'failure-domain = soak',
      '[listen]', ...Object.entries(PORTS).map(([name, port]) => `${name} = ${this.ip}:${port}`),
      '[peers]', `seeds = ${this.opts.seeds.map((ip) => `${ip}:${PORTS.peers}`).join(',')}`, 'group = soak',
      '[store]', `address = ${this.path.address}`,
      '[directory]', 'keep = 500 ms',
      '[drain]', `grace = ${GRACE_MS} ms`,
      '',
    ].join('\n');
  }
}
