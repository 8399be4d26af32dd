import { spawn } from 'node:child_process';
import { openSync, readFileSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as wait } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

export const ROOT = fileURLToPath(new URL('../..', import.meta.url));

const START_TIMEOUT_MS = 20_000;

const READY_TIMEOUT_MS = 500;

/** Bounds of the small deployment whose figures the settings take. */
const BOUNDS = { 'grace-s': 8, 'lease-ms': 3_000, 'budget-slack': 52 };

/** Ports that are free on 127.0.0.1. They are the same for all gateways, which differ in their loopback address. */
async function freePorts(count) {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => resolve(server));
  })));
  const ports = servers.map((server) => server.address().port);
  for (const server of servers) server.close();
  return ports;
}

/** One gateway process, started by the command of the deploy file with settings from the deploy file's template. */
export class Gateway {
  child = null;

  exited = Promise.resolve(null);

  starts = 0;

  /** How the process ended each time, as its exit code or signal. */
  ends = [];

  constructor(name, ip, zone, {
    ports, seeds, store, directory, record,
  }) {
    Object.assign(this, {
      name, ip, zone, ports, seeds, store, directory, record,
    });
    const [front] = ports;
    this.callerAddress = `${ip}:${front}`;
  }

  settings() {
    const [front, ready, control, directory, exchange, metrics] = this.ports;
    const fields = {
      node: this.name,
      zone: this.zone,
      ip: this.ip,
      'listen.front': `${this.ip}:${front}`,
      'listen.ready': `${this.ip}:${ready}`,
      'listen.control': `${this.ip}:${control}`,
      'listen.directory': `${this.ip}:${directory}`,
      'internal-ports.0': exchange,
      'internal-ports.1': metrics,
      seeds: this.seeds.map((ip) => `${ip}:${control}`).join(','),
      'platform.address': this.store,
      ...Object.fromEntries(Object.entries(BOUNDS).map(([key, value]) => [`bounds.${key}`, value])),
    };
    const template = readFileSync(join(ROOT, 'deploy/gateway.ini'), 'utf8');
    return template.replace(/\{\{([^}]+)\}\}/g, (_whole, key) => String(fields[key] ?? ''));
  }

  /** Starts the process without waiting for it. */
  spawn() {
    this.starts += 1;
    const file = join(this.directory, `${this.name}.ini`);
    writeFileSync(file, this.settings());
    const log = openSync(join(this.directory, `${this.name}-${this.starts}.log`), 'w');
    const child = spawn(process.execPath, ['target/catkinscale.cjs', 'gateway', file], {
      cwd: ROOT,
      stdio: ['ignore', log, log],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, CATKINSCALE_NODE_FILE: file },
    });
    this.child = child;
    this.record('gateway_started', { gateway: this.name, pid: child.pid });
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.ends.push(signal ?? code);
        this.record('gateway_ended', { gateway: this.name, code, signal });
        resolve(signal ?? code);
      });
    });
  }

  /** Starts the process and waits until it reports that it is ready. */
  async start() {
    this.spawn();
    const deadline = performance.now() + START_TIMEOUT_MS;
    while (!await this.isReady()) {
      if (!this.isRunning) throw new Error(`${this.name} has ended before it was ready`);
      if (performance.now() > deadline) throw new Error(`${this.name} is not ready`);
      await wait(30);
    }
    this.record('gateway_ready', { gateway: this.name });
  }

  get isRunning() {
    return this.child !== null && this.child.exitCode === null && this.child.signalCode === null;
  }

  isReady() {
    return new Promise((resolve) => {
      const req = get(`http://${this.ip}:${this.ports[1]}/ready`, { timeout: READY_TIMEOUT_MS }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(false));
    });
  }

  kill(signal) {
    if (this.isRunning) this.child.kill(signal);
  }
}

/** Creates gateways on loopback addresses of their own, one for each zone in `zones`. */
export async function createGateways(zones, { network, ...opts }) {
  const ports = await freePorts(6);
  const ips = zones.map((_zone, index) => `127.${network}.0.${index + 1}`);
  const seeds = ips.slice(0, 3);
  return zones.map((zone, index) => new Gateway(`front-${zone}-${index + 1}`, ips[index], zone, { ports, seeds, ...opts }));
}
