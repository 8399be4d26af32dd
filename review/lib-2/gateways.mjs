// Starts gateways as processes with the command and the template of the deploy file, on loopback addresses.
import { spawn } from 'node:child_process';
import { createSocket } from 'node:dgram';
import {
  closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

export const ROOT = fileURLToPath(new URL('../..', import.meta.url));

const START_TIMEOUT_MS = 20_000;

/** Bounds and limits of the small site `galinheiro-sul`. */
const FIELDS = {
  role: 'gateway',
  'machine-class': 'front',
  serves: ['front', 'control', 'directory'],
  region: 'regiao-sul',
  bootstrap: true,
  'heartbeat-ms': 1_200,
  limits: {
    'cpu-share': 0.675, 'memory-mb': 350, 'max-fds': 4_100, 'link-mbps': 1_000,
  },
  bounds: {
    'drain-ms': 2_000, 'grace-s': 8, 'lease-ms': 3_000, 'budget-slack': 52, 'contact-ms': 3_000,
  },
};

function lookUp(scopes, path) {
  for (const scope of scopes) {
    const value = path.split('.').reduce((at, name) => at?.[name], scope);
    if (value !== undefined) return value;
  }
  return undefined;
}

function render(value) {
  if (value === undefined || value === null) return '';
  if (Array.isArray(value)) return value.join(',');
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

/** Fills in a template as DEPLOY.md describes it, as far as `deploy/gateway.ini` needs it. */
export function fillTemplate(text, fields) {
  const withSections = text.replace(/\{\{#([^}]+)\}\}\n?([^]*?)\{\{\/\1\}\}\n?/g, (_all, path, inner) => {
    const value = lookUp([fields], path);
    return value === undefined || value === false || value === null ? '' : inner;
  });
  return withSections.replace(/\{\{([^}]+)\}\}/g, (_all, path) => render(lookUp([fields], path)));
}

/** Command of the role, from the deploy file. */
function deployedCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [command, ...args] = /^run = "([^"]+)"$/m.exec(text)[1].split(' ');
  return { command: command === 'node' ? process.execPath : command, args };
}

function canListen(ip, port) {
  return new Promise((resolve) => {
    const tcp = createServer();
    tcp.once('error', () => resolve(false));
    tcp.listen(port, ip, () => {
      const udp = createSocket('udp4');
      udp.once('error', () => tcp.close(() => resolve(false)));
      udp.bind(port, ip, () => udp.close(() => tcp.close(() => resolve(true))));
    });
  });
}

/** Finds ports that are free at all of the addresses. */
export async function freePorts(ips, count) {
  const ports = [];
  for (let port = 21_000 + (process.pid % 4_000); ports.length < count; port += 1) {
    const free = await Promise.all(ips.map((ip) => canListen(ip, port)));
    if (free.every(Boolean)) ports.push(port);
  }
  return ports;
}

/** Status of a GET request to a loopback address; 0 without an answer. */
function statusOf(url) {
  return new Promise((resolve) => {
    get(url, (res) => {
      res.resume();
      resolve(res.statusCode);
    }).once('error', () => resolve(0));
  });
}

export class GatewayProcess {
  constructor(name, ip, zone, {
    ports, seeds, storeAddress, directory,
  }) {
    const [front, ready, control, dir, exchange, metrics] = ports;
    this.name = name;
    this.ip = ip;
    this.address = `${ip}:${front}`;
    this.ready = `${ip}:${ready}`;
    this.directory = `${ip}:${dir}`;
    this.metrics = `${ip}:${metrics}`;
    this.folder = directory;
    this.starts = 0;
    this.fields = {
      ...FIELDS,
      node: name,
      ip,
      zone,
      'internal-ports': [exchange, metrics],
      seeds: seeds.map((seed) => `${seed}:${control}`),
      listen: {
        front: this.address, ready: this.ready, control: `${ip}:${control}`, directory: this.directory,
      },
      platform: { address: storeAddress },
    };
  }

  /** Starts the process and waits until it is ready. */
  async start() {
    const { command, args } = deployedCommand();
    const settings = join(this.folder, `${this.name}.ini`);
    writeFileSync(settings, fillTemplate(readFileSync(join(ROOT, 'deploy/gateway.ini'), 'utf8'), this.fields));
    this.starts += 1;
    const log = openSync(join(this.folder, `${this.name}-${this.starts}.log`), 'w');
    const child = spawn(command, args.map((arg) => (arg === '/etc/catkinscale/local.toml' ? settings : arg)), {
      cwd: ROOT, stdio: ['ignore', log, log], env: { PATH: process.env.PATH, HOME: process.env.HOME, CATKINSCALE_NODE_FILE: settings },
    });
    closeSync(log);
    this.child = child;
    const endChild = () => child.kill('SIGKILL');
    process.once('exit', endChild);
    child.once('exit', () => process.off('exit', endChild));
    this.ended = null;
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.ended = signal ?? code;
        resolve(this.ended);
      });
    });
    for (const deadline = Date.now() + START_TIMEOUT_MS; !await this.isReady();) {
      if (Date.now() > deadline || this.ended !== null) throw new Error(`${this.name} did not become ready`);
      await sleep(50);
    }
  }

  async isReady() {
    return await statusOf(`http://${this.ready}/ready`) === 200;
  }

  /** Sends a signal to the process. */
  signal(name) {
    this.child.kill(name);
  }

  /** Ends the process at once, if it runs. */
  async kill() {
    if (this.child === undefined || this.ended !== null) return;
    this.child.kill('SIGKILL');
    await this.exited;
  }

  /** Resident memory of the process in MB; 0 once it has ended. */
  memoryMb() {
    if (this.ended !== null) return 0;
    const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
    return Math.round(Number(/^VmRSS:\s+(\d+) kB/m.exec(status)?.[1] ?? 0) / 1_000);
  }

  log() {
    return readFileSync(join(this.folder, `${this.name}-${this.starts}.log`), 'utf8');
  }
}

/** Folder for settings and logs, removed by the returned function. */
export function temporaryFolder() {
  const folder = mkdtempSync(join(tmpdir(), 'catkinscale-review-'));
  return { folder, remove: () => rmSync(folder, { recursive: true, force: true }) };
}

/** Creates `count` gateways in one zone each; none is started yet. */
export async function createGateways(count, network, storeAddress, directory) {
  const ips = Array.from({ length: count }, (_none, index) => `127.${network}.0.${index + 1}`);
  const ports = await freePorts(ips, 6);
  return ips.map((ip, index) => new GatewayProcess(`front-zone-${index + 1}-1`, ip, `zone-${index + 1}`, {
    ports, seeds: ips.slice(0, 3), storeAddress, directory,
  }));
}
