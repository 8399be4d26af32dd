// Builds the program with its own copy of Node.js as the single executable dist/catkinscale, and compiles the library.
import { execFileSync } from 'node:child_process';
import {
  chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import { join } from 'node:path';
import process from 'node:process';
import { fileURLToPath, URL } from 'node:url';
import { build } from 'esbuild';
import { inject } from 'postject';
import { bundleOptions } from './bundleoptions.mjs';

// Marker in the Node.js binary, from its documentation of single executables, that the injected program flips.
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

const root = fileURLToPath(new URL('..', import.meta.url));
const dist = join(root, 'dist');
const bundle = join(dist, 'catkinscale.cjs');
const blob = join(dist, 'catkinscale.blob');
const config = join(dist, 'sea.json');
const binary = join(dist, 'catkinscale');

mkdirSync(dist, { recursive: true });

await build(bundleOptions(root, bundle));

writeFileSync(config, JSON.stringify({ main: bundle, output: blob, disableExperimentalSEAWarning: true }));
execFileSync(process.execPath, ['--experimental-sea-config', config], { stdio: 'inherit' });
copyFileSync(process.execPath, binary);
chmodSync(binary, 0o755);
await inject(binary, 'NODE_SEA_BLOB', readFileSync(blob), { sentinelFuse: SENTINEL_FUSE });
execFileSync(process.execPath, [join(root, 'node_modules/typescript/bin/tsc'), '-p', join(root, 'tsconfig.lib.json')], { stdio: 'inherit' });
