import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { homeEngines, selectSubset } from '../src/core/routing/subset.js';

const OPTIONS = { nodesPerEngine: 3, enginesPerModel: 2 };

function names(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}${index}`);
}

function enginesOf(count: number) {
  return names('e', count).map((name, index) => ({
    name, failureDomain: `d${index % 4}`, models: [`m${index % 3}`],
  }));
}

const sizes = [fc.integer({ min: 4, max: 20 }), fc.integer({ min: 12, max: 60 })] as const;

describe('selectSubset', () => {
  // Guards against an engine that no node uses, and a node that lacks a model or a failure domain.
  it('gives each engine enough nodes and each node every model and failure domain', () => {
    fc.assert(fc.property(...sizes, (nodeCount, engineCount) => {
      const nodes = names('n', nodeCount);
      const engines = enginesOf(engineCount);
      const subsets = nodes.map((node) => new Set(selectSubset(node, nodes, engines, OPTIONS)));
      for (const engine of engines) {
        expect(subsets.filter((subset) => subset.has(engine.name)).length).toBeGreaterThanOrEqual(3);
      }
      for (const subset of subsets) {
        const mine = engines.filter((engine) => subset.has(engine.name));
        expect(new Set(mine.map((engine) => engine.failureDomain)).size).toBe(4);
        for (const model of ['m0', 'm1', 'm2']) {
          expect(mine.filter((engine) => engine.models.includes(model)).length).toBeGreaterThanOrEqual(2);
        }
      }
    }), { seed: 1, numRuns: 30 });
  });

  // Guards against reshuffled subsets, and new connections everywhere, when one node is replaced.
  it('moves few engines when a node leaves', () => {
    fc.assert(fc.property(...sizes, (nodeCount, engineCount) => {
      const nodes = names('n', nodeCount);
      const engines = enginesOf(engineCount);
      const [gone, ...rest] = nodes;
      const lost = selectSubset(gone!, nodes, engines, OPTIONS).length;
      let added = 0;
      for (const node of rest) {
        const before = new Set(selectSubset(node, nodes, engines, { ...OPTIONS, enginesPerModel: 0 }));
        const after = selectSubset(node, rest, engines, { ...OPTIONS, enginesPerModel: 0 });
        added += after.filter((engine) => !before.has(engine)).length;
      }
      // Failure domains that a node covers by an extra engine may change that engine.
      expect(added).toBeLessThanOrEqual(lost + rest.length);
    }), { seed: 1, numRuns: 30 });
  });
});

describe('homeEngines', () => {
  // Guards against two nodes that both hold an engine for their own, whose short answers then collide.
  it('gives every engine of a whole share to one node and shares the rest', () => {
    const counts = [fc.integer({ min: 1, max: 12 }), fc.integer({ min: 1, max: 30 })] as const;
    fc.assert(fc.property(...counts, (nodeCount, engineCount) => {
      const nodes = names('n', nodeCount);
      const engines = names('e', engineCount);
      const homes = nodes.map((node) => homeEngines(node, nodes, engines));
      for (const engine of engines) {
        const users = homes.filter((home) => home.has(engine));
        expect(users.length).toBeGreaterThanOrEqual(1);
        for (const home of users) expect(home.get(engine)).toBe(users.length);
      }
      for (const home of homes) expect(home.size).toBeGreaterThanOrEqual(1);
    }), { seed: 1 });
  });
});
