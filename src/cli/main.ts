import { hideBin } from 'yargs/helpers';
import { run } from './program.js';
import { fail } from '../core/result.js';

void (async () => {
  const start = () => Promise.resolve(fail({ message: 'the entry process is not part of this build yet' }));
  process.exitCode = await run(hideBin(process.argv), start);
})();
