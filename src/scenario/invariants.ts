import { RanStatus, refusedCallRan } from '../core/refusals.js';
import type { Refusal } from '../core/refusals.js';
import type { Result } from '../core/result.js';
import type { DrainReport, ServiceOutcome } from '../daemon/api.js';
import type { DeployedEntry, Deployment } from '../emulator/deployment.js';
import type { ScenarioCaller } from './caller.js';

/** Booking that a scenario has sent; the result is `null` until it arrives. */
export interface ScenarioBooking {
  readonly key: string;
  result: Result<ServiceOutcome, Refusal> | null;
}

/** State of a scenario that the invariants check. */
export interface ObservedWorld {
  readonly deployment: Deployment;
  readonly callers: ReadonlyMap<string, ScenarioCaller>;
  readonly bookings: ReadonlyMap<string, ScenarioBooking>;
  readonly drainReports: ReadonlyMap<string, DrainReport | null>;
  /** Entries that hold the authority lease now, and so may plan the fleet. */
  holders(): readonly DeployedEntry[];
}

/** Checks what must hold at every moment of a scenario, and collects each violation once. */
export class Invariants {
  public readonly violations: string[] = [];

  /** Last revision seen, by process (`<address>/<incarnation>`). */
  private readonly lastRevisions = new Map<string, number>();

  private readonly reported = new Set<string>();

  /** Whether the refusal of each booking, by name, was true when it was first seen. */
  private readonly refusalVerdicts = new Map<string, string>();

  public constructor(private readonly world: ObservedWorld) {}

  /** Checks all invariants at the present moment. */
  public check(): void {
    this.checkOrders();
    this.checkAuthority();
    this.checkAnswers();
    this.checkBookings();
    this.checkRevisions();
    this.checkDrains();
  }

  private reportViolation(id: string, message: string): void {
    if (this.reported.has(`${id} ${message}`)) return;
    this.reported.add(`${id} ${message}`);
    this.violations.push(`${id} at ${this.world.deployment.clock.monotonic()} ms: ${message}`);
  }

  private checkOrders(): void {
    for (const engine of this.world.deployment.standIns.engines.values()) {
      for (const order of engine.conflictingOrders) this.reportViolation('I1', `${engine.name} took conflicting order ${order.orderId}`);
    }
  }

  private checkAuthority(): void {
    const holders = this.world.holders().filter(({ process }) => process.running);
    if (holders.length > 1) this.reportViolation('I3', `holders ${holders.map(({ name }) => name).join(', ')}`);
  }

  private checkAnswers(): void {
    for (const [name, caller] of this.world.callers) {
      if (!caller.expected.startsWith(caller.text)) this.reportViolation('I4', `caller ${name} got a wrong answer`);
      if (caller.state.type === 'whole' && caller.text !== caller.expected) {
        this.reportViolation('I4', `caller ${name} got part of its answer as whole`);
      }
      if (caller.state.type === 'refused') this.checkRefusedAnswer(name, caller, caller.state.refusal);
    }
  }

  private checkRefusedAnswer(name: string, caller: ScenarioCaller, refusal: Refusal): void {
    if (refusedCallRan(refusal) !== RanStatus.No || refusal.code === 'invalid_event_id') return;
    if (caller.text !== '') this.reportViolation('I5', `caller ${name} was told "not run" after tokens`);
  }

  private checkBookings(): void {
    const ledger = this.world.deployment.standIns.ledgers.get('ledger')!;
    for (const [key, runs] of ledger.runs) {
      if (key.includes('/order/') && runs > 1) this.reportViolation('I6', `${key} ran ${runs} times`);
    }
    for (const [name, { key, result }] of this.world.bookings) {
      if (result === null || result.success || refusedCallRan(result.error) !== RanStatus.No) continue;
      // A refusal is about the time at which it was given, and a later repeat may run; so each is checked only once.
      const ran = ledger.runs.has(`default/order/${key}`);
      const verdict = this.refusalVerdicts.get(name);
      if (verdict === undefined) this.refusalVerdicts.set(name, ran ? 'false' : 'true');
      if (verdict === undefined && ran) this.reportViolation('I5', `booking ${name} was told "not run" of ${key}, which has run`);
    }
  }

  private checkRevisions(): void {
    for (const { name, address, entry } of this.world.deployment.alive()) {
      const revision = entry.show()?.revision ?? 0;
      const process = `${address}/${entry.incarnation}`;
      const before = this.lastRevisions.get(process) ?? 0;
      if (revision < before) this.reportViolation('I9', `${name} went from revision ${before} back to ${revision}`);
      this.lastRevisions.set(process, revision);
    }
  }

  private checkDrains(): void {
    for (const [name, report] of this.world.drainReports) {
      if (report !== null && report.cut > 0) this.reportViolation('I8', `the planned stop of ${name} cut ${report.cut} answers`);
    }
  }
}
