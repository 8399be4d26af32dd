import { describe, expect, it } from 'vitest';
import {
  checkPage, listMethods, listRoutes, readPages, readRepository,
} from './support/pages.js';

const repository = readRepository();

const WRONG_PAGE = [
  '# Page', '',
  'See `docs/nowhere.md`, `core/nothing.ts` and `lost.scenario`, or all of `test/nothing/*.scenario`.', '',
  'Run `npm run benhc -- peak`, `npm run bench -- peek --seed 1` or `npx tsx src/bench/main.ts',
  'takeovr --seed N`; keep `[adress] keep` and `[address] keeps`.', '',
  '```', 'Code: `docs/skipped.md`', '```', '',
  '| section, key | meaning |', '|---|---|', '| `[listen] callers`, `operator` | `callers | peers` |', '',
  '| metric | meaning |', '|---|---|', '| `caller_answer_total{form}`, `second_token_ms` | `lost_total` |', '',
  '| name | measures |', '|---|---|', '| `peaks` | `peaks` |', '',
].join('\n');

describe('pages', () => {
  // Guards against a check that passes because it finds no names on a page or accepts any name.
  it('reports each name that does not exist, with page and line', () => {
    expect(checkPage('page.md', WRONG_PAGE, repository)).toEqual([
      'page.md:3: `docs/nowhere.md`: no file docs/nowhere.md',
      'page.md:3: `core/nothing.ts`: no file core/nothing.ts',
      'page.md:3: `lost.scenario`: no file lost.scenario',
      'page.md:3: `test/nothing/*.scenario`: no file test/nothing/*.scenario',
      'page.md:5: `npm run benhc -- peak`: no script benhc in package.json',
      'page.md:5: `npm run bench -- peek --seed 1`: no experiment peek',
      'page.md:5: `npx tsx src/bench/main.ts takeovr --seed N`: no experiment takeovr',
      'page.md:6: `[adress] keep`: no key keep in section [adress] of the settings',
      'page.md:6: `[address] keeps`: no key keeps in section [address] of the settings',
      'page.md:14: `operator`: no key operator in section [listen] of the settings',
      'page.md:18: `caller_answer_total{form}`: no metric caller_answer_total',
      'page.md:18: `second_token_ms`: no metric second_token_ms',
      'page.md:18: `lost_total`: no metric lost_total',
      'page.md:22: `peaks`: no experiment peaks',
    ]);
  });

  it('accepts names that exist in the repository', () => {
    const page = [
      '`docs/design.md` `core/result.ts` `result.ts` `adapters/*` `test/scenarios/` `service-down.scenario`',
      '`npm run bench -- peak --seed 1` `npm run bench -- NAME` `[address] keep` `peer_calls_total{method}`',
      '`intents/<engine>` `authority/term` `keep_ms`',
    ].join('\n');
    expect(checkPage('page.md', page, repository)).toEqual([]);
  });

  // Guards against pages that name files, commands, settings or metrics that were renamed or never existed.
  it.each([...readPages()])('finds only existing names in %s', (page, text) => {
    expect(checkPage(page, text, repository)).toEqual([]);
  });
});

describe('docs/protocols.md', () => {
  const page = readPages().get('docs/protocols.md')!;
  const methods = [...page.matchAll(/^\| `([\w.]+)` \| (?:`\{)/gm)].map(([, name]) => name!);
  const routes = [...page.matchAll(/`((?:GET|POST) \/[^`?]*)/g)].map(([, route]) => route!.replace(/<.*/, '*'));

  // Guards against an RPC method between entries that was added, renamed or removed without a change of the page.
  it('lists the JSON-RPC methods that entries register', () => {
    expect(listMethods().length).toBeGreaterThan(0);
    expect(methods.sort()).toEqual(listMethods());
  });

  // Guards against a request to an external system that the page does not describe.
  it('lists the requests that the stand-ins serve, and the one for calls between entries', () => {
    expect(listRoutes().length).toBeGreaterThan(0);
    expect([...new Set(routes)].sort()).toEqual([...listRoutes(), 'POST /'].sort());
  });
});
