import { join } from 'node:path';

/** Options of esbuild for the one file that holds the whole program. */
export function bundleOptions(root, outfile) {
  return {
    entryPoints: [join(root, 'src/cli/main.ts')],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    legalComments: 'none',
    // yargs reads import.meta.url, which a CommonJS bundle does not have.
    define: { 'import.meta.url': 'importMetaUrl' },
    banner: { js: "const importMetaUrl = require('node:url').pathToFileURL(process.execPath).href;" },
  };
}
