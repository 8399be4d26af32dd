import { describe, expect, it } from 'vitest';
import { PlannerGroup } from '../src/bench/plannergroup.js';
import { Priority, Role } from '../src/core/interfaces/index.js';
import type { EngineEvent, EngineStatus } from '../src/core/interfaces/index.js';
import { DesiredRole, ServerState } from '../src/core/configuration/fleet.js';
import type { EngineSpec } from '../src/core/configuration/fleet.js';
import { nextAction } from '../src/core/orders/planning.js';
import type { EngineDrain } from '../src/core/orders/planning.js';
import { sleep } from '../src/core/time.js';

/** Drain that ends when the emulated engine runs no request, and records which engines are drained. */
class RecordingDrain implements EngineDrain {
  /** Engines that are drained and not released yet. */
  public readonly held = new Set<string>();

  /** Largest number of engines that were drained at the same time. */
  public mostHeld = 0;

  /** Drains that ended while requests were still running. */
  public refused = 0;

  public group: PlannerGroup | null = null;

  public async drain(engine: string, opts: Parameters<EngineDrain['drain']>[1]): Promise<boolean> {
    const { clock, engines } = this.group!;
    this.held.add(engine);
    this.mostHeld = Math.max(this.mostHeld, this.held.size);
    const boundMs = Math.min(opts.boundMs, 60_000);
    for (let elapsed = 0; elapsed < boundMs && !opts.signal.aborted; elapsed += 100) {
      await sleep(clock, 100);
      if (engines.find(({ name }) => name === engine)!.runningRequests.length === 0) return true;
    }
    this.refused += 1;
    return false;
  }

  public release(engine: string): void {
    this.held.delete(engine);
  }
}

function groupWithDrain(engines: number): { readonly group: PlannerGroup; readonly drain: RecordingDrain } {
  const drain = new RecordingDrain();
  const group = new PlannerGroup({ seed: 3, drain, engines });
  drain.group = group;
  return { group, drain };
}

/** Starts a request of `tokens` output tokens at the first engine; returns its events, which are added as they come. */
async function generate(group: PlannerGroup, tokens: number): Promise<EngineEvent[]> {
  const events: EngineEvent[] = [];
  const stream = group.engines[0]!.generate({
    requestId: 'r',
    attemptId: 't',
    workspace: 'w',
    model: 'a',
    prompt: `catalogue [answer-tokens=${tokens}]`,
    delivered: '',
    firstIndex: 0,
    maxTokens: tokens,
    priority: Priority.Normal,
  }, { timeoutMs: 1_000 });
  void stream.then(async (result) => {
    if (result.success) for await (const event of result.data) events.push(event);
  });
  await group.clock.advance(10);
  return events;
}

describe('Planning', () => {
  // Guards against a role change that interrupts the requests that run on the engine (I2).
  it('drains an engine before a role change, so that no request is interrupted', async () => {
    const { group, drain } = groupWithDrain(2);
    await group.advanceUntil(() => group.findHolderIndex() >= 0, 10_000);
    const events = await generate(group, 400);
    group.requestRole(0, DesiredRole.Decode);
    await group.advanceUntil(() => group.engines[0]!.appliedOrders.length > 0, 60_000);
    expect(events.at(-1)?.type).toBe('end');
    await group.clock.advance(10_000);
    expect(await group.matchesFleet()).toBe(true);
    expect(drain.held.size).toBe(0);
  });

  it('postpones a change when the engine does not become idle', async () => {
    const { group, drain } = groupWithDrain(2);
    await group.advanceUntil(() => group.findHolderIndex() >= 0, 10_000);
    await generate(group, 1_000_000);
    group.requestRole(0, DesiredRole.Decode);
    await group.clock.advance(130_000);
    expect(drain.refused).toBeGreaterThan(0);
    expect(group.engines[0]!.appliedOrders).toHaveLength(0);
  });

  it('always keeps at least one engine in service for each model', async () => {
    const { group, drain } = groupWithDrain(3);
    for (const index of [0, 1, 2]) group.requestRole(index, DesiredRole.Decode);
    await group.clock.advance(30_000);
    expect(drain.mostHeld).toBeLessThan(3);
    expect(await group.matchesFleet()).toBe(true);
  });

  // The role planner reuses its map. A change in it must not go unnoticed until the engines are checked again.
  it('orders a planned role at once where the role in the fleet file is `auto`', async () => {
    const plan = new Map<string, Role>();
    const group = new PlannerGroup({ seed: 3, roles: { plan: () => plan } });
    for (const index of group.engines.keys()) group.requestRole(index, DesiredRole.Auto);
    await group.advanceUntil(() => group.findHolderIndex() >= 0, 10_000);
    await group.clock.advance(3_000);
    for (const { name } of group.engines) plan.set(name, Role.Prefill);
    const ordered = () => group.engines.filter(({ appliedOrders: accepted }) => accepted.length > 0).length;
    expect(await group.advanceUntil(() => ordered() >= 3, 10_000)).toBeLessThan(1_200);
  });

  it('sends no orders while no process holds authority, and engines keep serving requests', async () => {
    const group = new PlannerGroup({ seed: 3 });
    group.store.down = true;
    group.requestRole(1, DesiredRole.Decode);
    await group.clock.advance(20_000);
    expect(group.countAcceptedOrders()).toBe(0);
    const events = await generate(group, 20);
    await group.clock.advance(10_000);
    expect(events.at(-1)?.type).toBe('end');
  });
});

describe('nextAction', () => {
  const { fleet } = new PlannerGroup({ seed: 1, entries: 0 });
  const spec = fleet.engines[0]!;
  const status = (models: EngineStatus['models']): EngineStatus => ({
    engine: 'e0', incarnation: '1', role: Role.Mixed, models, orders: {}, leaving: false,
  });
  const wanted = { model: 'a', version: '1' };

  it.each<[string, EngineStatus, Partial<EngineSpec>, object | null]>([
    ['loads a missing model', status([]), {}, { type: 'load', model: 'a', version: '1' }],
    ['unloads a model that is not in the fleet file', status([wanted, { model: 'b', version: '1' }]), {}, { type: 'unload', model: 'b' }],
    ['changes the role once the models are right', status([wanted]), {}, { type: 'role', role: Role.Decode }],
    ['leaves a draining engine alone', status([]), { state: ServerState.Draining }, null],
    ['leaves a leaving engine alone', { ...status([]), leaving: true }, {}, null],
  ])('%s', (_name, held, change, expected) => {
    const action = nextAction({ ...spec, ...change }, fleet, held, Role.Decode);
    if (expected === null) expect(action).toBeNull();
    else expect(action).toMatchObject(expected);
  });

  it('loads a missing adapter', () => {
    const adapted = { ...fleet, models: [{ name: 'a', version: '1', adapters: ['x'] }] };
    expect(nextAction(spec, adapted, status([wanted]), undefined)).toMatchObject({ type: 'load_adapter', adapter: 'x' });
    expect(nextAction(spec, adapted, status([{ ...wanted, adapters: ['x'] }]), undefined)).toBeNull();
  });
});
