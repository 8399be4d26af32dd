// Builds the one file that the platform runs, without the tests and without a copy of Node.js.
import { join } from 'node:path';
import { fileURLToPath, URL } from 'node:url';
import { build } from 'esbuild';
import { bundleOptions } from './bundleoptions.mjs';

const root = fileURLToPath(new URL('..', import.meta.url));

await build({
  ...bundleOptions(root, join(root, 'target/catkinscale.cjs')), minify: true, keepNames: true,
});
