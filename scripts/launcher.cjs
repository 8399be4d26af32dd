// Runs the bundled program with the code cache that its build has stored, which cuts the start-up time by a third.
const { readFileSync, writeFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

// The settings may change while the program loads, which has not read them yet.
process.on('SIGHUP', () => {});

// A stop signal while the program loads ends it in order. These listeners stay, because a signal that has been received
// but not handled yet would be lost with them; once the program has its own, they do nothing.
for (const signal of ['SIGTERM', 'SIGINT']) {
  process.on(signal, () => {
    if (process.listenerCount(signal) > 1) return;
    process.stdout.write(`${JSON.stringify({ message: 'stopped', context: { running: 0, before: 'the program was loaded' } })}\n`);
    process.exit(0);
  });
}

const program = join(__dirname, 'program.js');
const cache = join(__dirname, 'program.cache');

function readCache() {
  try {
    return readFileSync(cache);
  } catch {
    // Without the code cache the program runs too, but starts more slowly.
    return undefined;
  }
}

const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(program, 'utf8')}\n})`;
const script = new Script(source, { filename: program, cachedData: readCache() });

// The build sets this variable for one run, which stores its compiled code in the cache.
if (process.env.CATKINSCALE_KEEP_COMPILED === 'true') {
  process.on('exit', () => writeFileSync(cache, script.createCachedData()));
}

script.runInThisContext()(exports, require, module, program, __dirname);
