// Builds the program that the platform runs, without tests and without a copy of Node.js.
import { spawnSync } from 'node:child_process';
import { copyFileSync, existsSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import process from 'node:process';
import { fileURLToPath, URL } from 'node:url';
import { build } from 'esbuild';
import { bundleOptions } from './bundleoptions.mjs';

const root = fileURLToPath(new URL('..', import.meta.url));
const target = join(root, 'target');
const launcher = join(target, 'catkinscale.cjs');
const cache = join(target, 'program.cache');

await build({ ...bundleOptions(root, join(target, 'program.js')), minify: true, keepNames: true });
copyFileSync(join(root, 'scripts/launcher.cjs'), launcher);
rmSync(cache, { force: true });
// Fills the code cache: the command loads all code that a gateway needs and then exits, because its file is missing.
spawnSync(process.execPath, [launcher, 'gateway', join(target, 'missing.ini')], {
  env: { ...process.env, CATKINSCALE_KEEP_COMPILED: 'true' },
});
if (!existsSync(cache)) throw new Error('the bundled program does not start');
