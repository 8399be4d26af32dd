import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';

/**
 * Bundles the command line program into one file in `directory` and returns its path. Starting many processes directly
 * from TypeScript would take several seconds.
 */
export async function bundleProgram(root: string, directory: string): Promise<string> {
  const outfile = join(directory, 'catkinscale.cjs');
  mkdirSync(directory, { recursive: true });
  await build({
    entryPoints: [join(root, 'src/cli/main.ts')],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    define: { 'import.meta.url': 'importMetaUrl' },
    banner: { js: "const importMetaUrl = require('node:url').pathToFileURL(__filename).href;" },
  });
  return outfile;
}
