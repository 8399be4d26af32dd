import { Ran, refusedCallRan } from '../core/refusals.js';
import type { Refusal } from '../core/refusals.js';
import type { Result } from '../core/result.js';
import type { DrainReport, ServiceOutcome } from '../daemon/api.js';
import type { DeployedEntry, Deployment } from '../emulator/deployment.js';
import type { ScenarioCaller } from './caller.js';

/** Booking that a scenario has sent. */
export interface ScenarioBooking {
  readonly key: string;
  result: Result<ServiceOutcome, Refusal> | null;
}

/** What the invariants look at. */
export interface Observed {
  readonly deployment: Deployment;
  readonly callers: ReadonlyMap<string, ScenarioCaller>;
  readonly bookings: ReadonlyMap<string, ScenarioBooking>;
  readonly drains: ReadonlyMap<string, DrainReport | null>;
  /** Entries that may plan the fleet now. */
  holders(): readonly DeployedEntry[];
}

/** Checks what must hold at every moment of a scenario. */
export class Invariants {
  public readonly breaches: string[] = [];

  private readonly revisions = new Map<string, number>();

  private readonly seen = new Set<string>();

  private readonly falseRefusals = new Map<string, string>();

  public constructor(private readonly world: Observed) {}

  public check(): void {
    this.checkOrders();
    this.checkAuthority();
    this.checkAnswers();
    this.checkBookings();
    this.checkRevisions();
    this.checkDrains();
  }

  private breach(id: string, message: string): void {
    if (this.seen.has(`${id} ${message}`)) return;
    this.seen.add(`${id} ${message}`);
    this.breaches.push(`${id} at ${this.world.deployment.clock.monotonic()} ms: ${message}`);
  }

  private checkOrders(): void {
    for (const engine of this.world.deployment.standIns.engines.values()) {
      for (const order of engine.conflicts) this.breach('I1', `${engine.name} took conflicting order ${order.orderId}`);
    }
  }

  private checkAuthority(): void {
    const holders = this.world.holders().filter(({ process }) => process.running);
    if (holders.length > 1) this.breach('I3', `holders ${holders.map(({ name }) => name).join(', ')}`);
  }

  private checkAnswers(): void {
    for (const [name, caller] of this.world.callers) {
      if (!caller.expected.startsWith(caller.text)) this.breach('I4', `caller ${name} got a wrong answer`);
      if (caller.state.type === 'whole' && caller.text !== caller.expected) {
        this.breach('I4', `caller ${name} got part of its answer as whole`);
      }
      if (caller.state.type === 'refused') this.checkRefusedAnswer(name, caller, caller.state.refusal);
    }
  }

  private checkRefusedAnswer(name: string, caller: ScenarioCaller, refusal: Refusal): void {
    if (refusedCallRan(refusal) !== Ran.No || refusal.code === 'invalid_event_id') return;
    if (caller.text !== '') this.breach('I5', `caller ${name} was told "not run" after tokens`);
  }

  private checkBookings(): void {
    const ledger = this.world.deployment.standIns.ledgers.get('ledger')!;
    for (const [key, runs] of ledger.runs) {
      if (key.includes('/order/') && runs > 1) this.breach('I6', `${key} ran ${runs} times`);
    }
    for (const [name, { key, result }] of this.world.bookings) {
      if (result === null || result.success || refusedCallRan(result.error) !== Ran.No) continue;
      // A refusal speaks of the moment at which it is given; a later repeat may run.
      const ran = ledger.runs.has(`default/order/${key}`);
      const known = this.falseRefusals.get(name);
      if (known === undefined) this.falseRefusals.set(name, ran ? 'false' : 'true');
      if (known === undefined && ran) this.breach('I5', `booking ${name} was told "not run" of ${key}, which has run`);
    }
  }

  private checkRevisions(): void {
    for (const { name, address, entry } of this.world.deployment.alive()) {
      const revision = entry.show()?.revision ?? 0;
      const process = `${address}/${entry.incarnation}`;
      const before = this.revisions.get(process) ?? 0;
      if (revision < before) this.breach('I9', `${name} went from revision ${before} back to ${revision}`);
      this.revisions.set(process, revision);
    }
  }

  private checkDrains(): void {
    for (const [name, report] of this.world.drains) {
      if (report !== null && report.cut > 0) this.breach('I8', `the planned stop of ${name} cut ${report.cut} answers`);
    }
  }
}
