import { spawn } from 'node:child_process';
import type { ChildProcessByStdio } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Readable, Writable } from 'node:stream';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';
import { round } from './summary.js';

/** Cost of one member in a process of its own, over real HTTP on loopback. */
export interface MemberProcess {
  readonly members: number;
  /** Resident memory beyond a Node.js process that does nothing, in MB. */
  readonly residentMb: number;
  readonly coreShare: number;
}

type Child = ChildProcessByStdio<Writable, Readable, null>;

const IDLE = `setInterval(() => {}, 1000);
process.stdin.on('end', () => {
  process.stdout.write(JSON.stringify({ residentMb: process.memoryUsage().rss / 1e6 }));
  process.exit(0);
}).resume();`;

async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return `127.0.0.1:${port}`;
}

function start(args: readonly string[]): Child {
  return spawn(process.execPath, args, { stdio: ['pipe', 'pipe', 'inherit'] });
}

/** Tells a child to end and reads what it reports. */
async function report<T>(child: Child): Promise<T> {
  child.stdin.end();
  let text = '';
  for await (const chunk of child.stdout) text += String(chunk);
  return JSON.parse(text) as T;
}

/** Runs `nodes` members and one idle process for a while; the figures are those of the costliest member. */
export async function measureMemberProcesses(nodes: number, durationMs: number): Promise<MemberProcess> {
  const directory = mkdtempSync(join(tmpdir(), 'catkinscale-control-'));
  const program = join(directory, 'member.mjs');
  try {
    await build({
      entryPoints: [fileURLToPath(new URL('./memorynode.ts', import.meta.url))],
      bundle: true,
      platform: 'node',
      format: 'esm',
      outfile: program,
      logLevel: 'error',
      banner: { js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);' },
    });
    const addresses = await Promise.all(Array.from({ length: nodes }, freeAddress));
    const idle = start(['-e', IDLE]);
    const children = addresses.map((address) => start([program, address, ...addresses.slice(0, 3)]));
    await new Promise((resolve) => {
      setTimeout(resolve, durationMs);
    });
    const members = await Promise.all(children.map((child) => report<MemberProcess>(child)));
    const { residentMb } = await report<{ readonly residentMb: number }>(idle);
    return {
      members: Math.min(...members.map((member) => member.members)) + 1,
      residentMb: round(Math.max(...members.map((member) => member.residentMb)) - residentMb, 1),
      coreShare: round(Math.max(...members.map(({ coreShare }) => coreShare)), 5),
    };
  } finally {
    rmSync(directory, { recursive: true });
  }
}
