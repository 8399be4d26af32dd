import { describe, expect, it } from 'vitest';
import { Priority } from '../src/core/edges/index.js';
import { Estimates, LengthSketch } from '../src/core/admission/estimates.js';
import type { WorkItem } from '../src/core/serving/placement.js';

const item: WorkItem = {
  requestId: 'r',
  workspace: 'farms',
  model: 'm',
  kind: 'notes',
  priority: Priority.Normal,
  promptTokens: 100,
  maxTokens: 1_000,
  blocks: [],
  deadline: 1_000,
  arrival: 0,
};

describe('LengthSketch', () => {
  // Guards against quantiles that are off by more than the width of a bucket.
  it('estimates quantiles within a bucket', () => {
    const sketch = new LengthSketch();
    for (let tokens = 1; tokens <= 200; tokens += 1) sketch.add(tokens);
    expect(sketch.quantile(0.5)! / 110).toBeGreaterThan(0.8);
    expect(sketch.quantile(0.5)! / 110).toBeLessThan(1.25);
  });

  // Guards against estimates that stay at what was seen long ago.
  it('follows a change of the lengths', () => {
    const sketch = new LengthSketch();
    for (let count = 0; count < 2_000; count += 1) sketch.add(10);
    for (let count = 0; count < 700; count += 1) sketch.add(500);
    expect(sketch.quantile(0.5)!).toBeGreaterThan(400);
  });
});

describe('Estimates', () => {
  it('uses the kind of other workspaces before a workspace has been seen', () => {
    const estimates = new Estimates();
    for (let count = 0; count < 30; count += 1) estimates.observeLength({ ...item, workspace: 'other' }, 3);
    expect(estimates.outputTokens(item)).toBeLessThan(6);
  });

  // Guards against a straggler that is still taken for a short answer after it has outlived the estimate.
  it('grows while an answer runs beyond the estimate', () => {
    const estimates = new Estimates();
    for (let count = 0; count < 95; count += 1) estimates.observeLength(item, 20);
    for (let count = 0; count < 5; count += 1) estimates.observeLength(item, 400);
    expect(estimates.outputTokens(item)).toBeLessThan(30);
    expect(estimates.outputTokens(item, 0.5, 100)).toBeGreaterThan(300);
  });

  it('never exceeds the limit of the request', () => {
    const estimates = new Estimates();
    for (let count = 0; count < 30; count += 1) estimates.observeLength(item, 5_000);
    expect(estimates.outputTokens(item)).toBe(1_000);
  });
});
