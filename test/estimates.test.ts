import { describe, expect, it } from 'vitest';
import { Priority } from '../src/core/interfaces/index.js';
import { Estimates, LengthHistogram } from '../src/core/admission/estimates.js';
import type { WorkItem } from '../src/core/serving/placement.js';

const item: WorkItem = {
  requestId: 'r',
  workspace: 'farms',
  model: 'm',
  kind: 'notes',
  priority: Priority.Normal,
  promptTokens: 100,
  maxTokens: 1_000,
  prefixBlockHashes: [],
  deadline: 1_000,
  arrival: 0,
};

describe('LengthSketch', () => {
  // Guards against quantiles that are off by more than the width of a bucket.
  it('estimates quantiles to within one histogram bucket', () => {
    const sketch = new LengthHistogram();
    for (let tokens = 1; tokens <= 200; tokens += 1) sketch.add(tokens);
    expect(sketch.quantile(0.5)! / 110).toBeGreaterThan(0.8);
    expect(sketch.quantile(0.5)! / 110).toBeLessThan(1.25);
  });

  // Guards against estimates that remain at the values of old observations.
  it('follows a change of the observed lengths', () => {
    const sketch = new LengthHistogram();
    for (let count = 0; count < 2_000; count += 1) sketch.add(10);
    for (let count = 0; count < 700; count += 1) sketch.add(500);
    expect(sketch.quantile(0.5)!).toBeGreaterThan(400);
  });
});

describe('Estimates', () => {
  it('uses the lengths that other workspaces had for the same kind when a workspace has none of its own', () => {
    const estimates = new Estimates();
    for (let count = 0; count < 30; count += 1) estimates.observeLength({ ...item, workspace: 'other' }, 3);
    expect(estimates.outputTokens(item)).toBeLessThan(6);
  });

  // Guards against a long answer still being treated as a short one after it has exceeded the estimate.
  it('raises the estimate of an answer that is already longer than estimated', () => {
    const estimates = new Estimates();
    for (let count = 0; count < 95; count += 1) estimates.observeLength(item, 20);
    for (let count = 0; count < 5; count += 1) estimates.observeLength(item, 400);
    expect(estimates.outputTokens(item)).toBeLessThan(30);
    expect(estimates.outputTokens(item, 0.5, 100)).toBeGreaterThan(300);
  });

  it('never estimates more output tokens than the request allows', () => {
    const estimates = new Estimates();
    for (let count = 0; count < 30; count += 1) estimates.observeLength(item, 5_000);
    expect(estimates.outputTokens(item)).toBe(1_000);
  });
});
