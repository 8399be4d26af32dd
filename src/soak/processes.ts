import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import {
  openSync, readdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';
import { LinkProxy } from '../emulator/linkproxy.js';

/** Ports of each gateway; gateways differ in their loopback address. The keys are those of the settings. */
const PORTS = {
  callers: 24_901, readiness: 24_902, peers: 24_903, directory: 24_904, metrics: 24_905, exchange: 24_906,
} as const;

/** Options of Node.js with which `deploy/system.toml` runs a gateway. */
const RUNTIME_OPTIONS = ['--max-semi-space-size=4', '--expose-gc'];

/** Time in ms within which a started gateway has to be ready. */
const START_TIMEOUT_MS = 15_000;

/** Grace period in ms of a planned stop. */
export const GRACE_MS = 4_000;

/** Gateway in a process of its own, connected to the store through a proxy of its own. */
export class GatewayProcess {
  /** Address at which the gateway accepts calls, as `ip:port`. */
  public readonly callerAddress: string;

  public readonly readinessAddress: string;

  public readonly peerAddress: string;

  public readonly directoryAddress: string;

  public readonly metricsAddress: string;

  private readonly storeLink: LinkProxy;

  private child: ChildProcess | null = null;

  private exited: Promise<number | null> = Promise.resolve(null);

  private startCount = 0;

  public constructor(
    private readonly ip: string,
    private readonly opts: {
      readonly program: string;
      readonly directory: string;
      readonly store: string;
      readonly seeds: readonly string[];
      /** Lines of the settings after those of the soak. */
      readonly settings?: readonly string[];
    },
  ) {
    this.callerAddress = `${ip}:${PORTS.callers}`;
    this.readinessAddress = `${ip}:${PORTS.readiness}`;
    this.peerAddress = `${ip}:${PORTS.peers}`;
    this.directoryAddress = `${ip}:${PORTS.directory}`;
    this.metricsAddress = `${ip}:${PORTS.metrics}`;
    this.storeLink = new LinkProxy(opts.store);
  }

  /** Starts the process and waits until it is ready or has exited; throws if neither happens in time. */
  public async start(): Promise<void> {
    const { program, directory } = this.opts;
    if (this.storeLink.address === '') await this.storeLink.start();
    this.startCount += 1;
    const file = join(directory, `${this.ip}.ini`);
    writeFileSync(file, this.settings());
    const child = spawn(process.execPath, [...RUNTIME_OPTIONS, program, 'gateway', file], {
      stdio: ['ignore', openSync(join(directory, `${this.ip}-${this.startCount}.log`), 'w'), 'inherit'],
    });
    this.child = child;
    // Kills the gateway when the process of the soak exits.
    const killChild = (): boolean => child.kill('SIGKILL');
    process.once('exit', killChild);
    child.once('exit', () => process.off('exit', killChild));
    this.exited = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    const deadline = performance.now() + START_TIMEOUT_MS;
    while (!await this.isReady() && child.exitCode === null && child.signalCode === null) {
      if (performance.now() > deadline) throw new Error(`${this.ip} is not ready; see ${directory}`);
      await wait(30);
    }
  }

  /** Stops all traffic to and from the store for `forMs`; open connections stay silent afterwards. */
  public async cutStoreLink(forMs: number): Promise<void> {
    this.storeLink.silence();
    await wait(forMs);
    this.storeLink.heal();
  }

  /** Resets all connections to the store. */
  public resetStoreLink(): void {
    this.storeLink.reset();
  }

  /** Suspends the process (SIGSTOP) for `forMs`. */
  public async pause(forMs: number): Promise<void> {
    const { child } = this;
    child?.kill('SIGSTOP');
    await wait(forMs);
    child?.kill('SIGCONT');
  }

  /** Sends a signal that ends the process, and returns its exit code, or `null` if the signal ended it. */
  public async terminate(signal: 'SIGKILL' | 'SIGTERM'): Promise<number | null> {
    this.child?.kill(signal);
    return this.exited;
  }

  /** Resolves with the exit code once the process has ended, or `null` if a signal ended it. */
  public whenExited(): Promise<number | null> {
    return this.exited;
  }

  /** State of the gateway as it reports it itself; throws where it does not answer. */
  public async dump(): Promise<unknown> {
    return (await fetch(`http://${this.ip}:${PORTS.metrics}/dump`)).json();
  }

  /** Largest memory of the process so far, in bytes. */
  public peakMemoryBytes(): number {
    const status = readFileSync(`/proc/${this.child?.pid}/status`, 'utf8');
    return Number(/^VmHWM:\s+(\d+) kB/m.exec(status)?.[1] ?? NaN) * 1_024;
  }

  /** Whether the process was started and has not ended. */
  public isRunning(): boolean {
    return this.child !== null && this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Number of file descriptors that the process has open. */
  public openDescriptors(): number {
    return readdirSync(`/proc/${this.child?.pid}/fd`).length;
  }

  /** Kills the process and stops the proxy. */
  public dispose(): void {
    this.child?.kill('SIGKILL');
    this.storeLink.stop();
  }

  private async isReady(): Promise<boolean> {
    try {
      return (await fetch(`http://${this.ip}:${PORTS.readiness}/ready`)).status === 200;
    } catch {
      // The process does not listen yet.
      return false;
    }
  }

  private settings(): string {
    return [
      '[gateway]', `name = ${this.ip}`, 'failure-domain = soak',
      '[listen]', ...Object.entries(PORTS).map(([name, port]) => `${name} = ${this.ip}:${port}`),
      '[peers]', `seeds = ${this.opts.seeds.map((ip) => `${ip}:${PORTS.peers}`).join(',')}`, 'group = soak',
      '[store]', `address = ${this.storeLink.address}`,
      '[directory]', 'keep = 500 ms',
      '[drain]', `grace = ${GRACE_MS} ms`,
      ...this.opts.settings ?? [],
      '',
    ].join('\n');
  }
}
