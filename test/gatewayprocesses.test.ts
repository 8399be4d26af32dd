import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';
import { bundleProgram } from '../src/demo/bundle.js';
import { runGatewayDemo } from '../src/demo/gateways.js';

const root = fileURLToPath(new URL('..', import.meta.url));

describe('gateways that run as separate processes', () => {
  // Guards against faults that do not show in one process: real starts, signals, datagrams and broken connections.
  it('serve orders while one of them stops, and resume a stream whose engine stops', async () => {
    const directory = mkdtempSync(join(tmpdir(), 'catkinscale-gateways-'));
    const figures = await runGatewayDemo(await bundleProgram(root, directory), directory, () => {});
    expect(figures).toMatchObject({
      ranTwice: 0, streamWhole: true, streamEngines: 2, longPromptStatus: 200, stoppedWith: 0,
    });
    // A stopping gateway may refuse orders that might not end within its grace period; every other order is served.
    expect(Object.keys(figures.byStatus).filter((status) => status !== '200' && status !== '503')).toEqual([]);
    expect(figures.byStatus['200']).toBeGreaterThan(figures.orders / 2);
  }, 40_000);
});
