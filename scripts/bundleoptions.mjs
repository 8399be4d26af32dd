import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';

const require = createRequire(import.meta.url);

/**
 * Replacements for large libraries that contain only what the program uses. The less code a process loads, the sooner
 * it is back after it was killed. Left out are fetch and its caches from undici, the messages of forty languages from
 * zod, and the WebAssembly engine of hdr-histogram-js.
 */
const SLIM_MODULES = {
  undici: {
    directory: dirname(require.resolve('undici')),
    contents: `
      const Dispatcher = require('./lib/dispatcher/dispatcher');
      const Agent = require('./lib/dispatcher/agent');
      Object.assign(Dispatcher.prototype, { request: require('./lib/api/api-request') });
      module.exports = {
        Agent,
        Client: require('./lib/dispatcher/client'),
        Pool: require('./lib/dispatcher/pool'),
        DecoratorHandler: require('./lib/handler/decorator-handler'),
      };`,
  },
  'zod-locales': {
    directory: join(dirname(require.resolve('zod/v4')), 'locales'),
    contents: "export { default as en } from './en.js';",
  },
  'hdr-wasm': {
    directory: dirname(require.resolve('hdr-histogram-js')),
    contents: 'exports.webAssemblyAvailable = false;',
  },
};

/** esbuild plugin that resolves the libraries to {@link SLIM_MODULES}. */
const slimLibraries = {
  name: 'slim-libraries',
  setup(build) {
    const redirect = (filter, module, importer = /./) => build.onResolve({ filter }, (args) => (
      importer.test(args.importer) ? { path: module, namespace: 'slim' } : undefined
    ));
    redirect(/^undici$/, 'undici');
    redirect(/locales\/index\.js$/, 'zod-locales', /node_modules\/zod\//);
    redirect(/^\.\/wasm$/, 'hdr-wasm', /hdr-histogram-js\/dist\/HistogramBuilder/);
    build.onResolve({ filter: /^hdr-histogram-js$/ }, () => ({
      path: join(dirname(require.resolve('hdr-histogram-js')), 'HistogramBuilder.js'),
    }));
    build.onLoad({ filter: /./, namespace: 'slim' }, ({ path }) => ({
      contents: SLIM_MODULES[path].contents, resolveDir: SLIM_MODULES[path].directory, loader: 'js',
    }));
  },
};

/** Returns the esbuild options that bundle the whole program into one file. */
export function bundleOptions(root, outfile) {
  return {
    entryPoints: [join(root, 'src/cli/main.ts')],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    legalComments: 'none',
    plugins: [slimLibraries],
    // yargs reads import.meta.url, which does not exist in a CommonJS bundle.
    define: { 'import.meta.url': 'importMetaUrl' },
    banner: { js: "const importMetaUrl = require('node:url').pathToFileURL(process.execPath).href;" },
  };
}
