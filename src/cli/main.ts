import { hideBin } from 'yargs/helpers';
import yargs from 'yargs';

void yargs(hideBin(process.argv)).scriptName('catkinscale').version('0.1.0').strict()
  .parse();
