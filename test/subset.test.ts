import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { enginesPreferredByNode, selectSubset } from '../src/core/routing/subset.js';

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
  // Guards against an engine that no node uses, and a node without any engine of a model or in a failure domain.
  it('gives each engine enough nodes, and each node engines of every model and in every failure domain', () => {
    fc.assert(fc.property(...sizes, (nodeCount, engineCount) => {
      const nodes = names('n', nodeCount);
      const engines = enginesOf(engineCount);
      const subsets = nodes.map((node) => new Set(selectSubset(node, nodes, engines, OPTIONS)));
      for (const engine of engines) {
        expect(subsets.filter((subset) => subset.has(engine.name)).length).toBeGreaterThanOrEqual(3);
      }
      for (const subset of subsets) {
        const selected = engines.filter((engine) => subset.has(engine.name));
        expect(new Set(selected.map((engine) => engine.failureDomain)).size).toBe(4);
        for (const model of ['m0', 'm1', 'm2']) {
          expect(selected.filter((engine) => engine.models.includes(model)).length).toBeGreaterThanOrEqual(2);
        }
      }
    }), { seed: 1, numRuns: 30 });
  });

  // Guards against subsets that change at all nodes, each with new connections, when a single node is replaced.
  it('assigns few engines to other nodes when a node leaves', () => {
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
      // Where a node has an extra engine to cover a failure domain, another engine may take its place.
      expect(added).toBeLessThanOrEqual(lost + rest.length);
    }), { seed: 1, numRuns: 30 });
  });
});

describe('homeEngines', () => {
  // Guards against two nodes that both take an engine for theirs alone, so that their short answers collide.
  it('assigns every engine, gives each node at least one, and counts the nodes that share an engine', () => {
    const sizeRanges = [fc.integer({ min: 1, max: 12 }), fc.integer({ min: 1, max: 30 })] as const;
    fc.assert(fc.property(...sizeRanges, (nodeCount, engineCount) => {
      const nodes = names('n', nodeCount);
      const engines = names('e', engineCount);
      const preferred = nodes.map((node) => enginesPreferredByNode(node, nodes, engines));
      for (const engine of engines) {
        const users = preferred.filter((counts) => counts.has(engine));
        expect(users.length).toBeGreaterThanOrEqual(1);
        for (const counts of users) expect(counts.get(engine)).toBe(users.length);
      }
      for (const counts of preferred) expect(counts.size).toBeGreaterThanOrEqual(1);
    }), { seed: 1 });
  });
});
