import { HostState, Priority } from '../core/interfaces/index.js';
import type { ApplyOutcome, DrainReport } from '../daemon/api.js';
import { Deployment } from '../emulator/deployment.js';
import type { DeployedEntry } from '../emulator/deployment.js';
import { CountingMeter, RecordingLog } from '../emulator/recording.js';
import { ScenarioCaller } from './caller.js';
import { editFleet, scenarioFleet } from './fleets.js';
import { Invariants } from './invariants.js';
import type { Observed, ScenarioBooking } from './invariants.js';

const ENGINES = 4;
const SERVERS = 2;
const APPLY_TIMEOUT_MS = 5_000;
const BOOKING_DEADLINE_MS = 5_000;
/** Invariants are checked at least this often while time passes. */
const CHECK_PERIOD_MS = 100;

/** Everything that the steps of one scenario act on. */
export class World implements Observed {
  public readonly log = new RecordingLog();

  public readonly meter = new CountingMeter();

  public readonly callers = new Map<string, ScenarioCaller>();

  public readonly bookings = new Map<string, ScenarioBooking>();

  public readonly applies = new Map<string, ApplyOutcome | null>();

  public readonly drains = new Map<string, DrainReport | null>();

  private readonly files = new Map<string, string>();

  private readonly base = scenarioFleet({ engines: ENGINES, servers: SERVERS });

  private current: Deployment | null = null;

  private checks: Invariants | null = null;

  public constructor(private readonly seed: number) {
    this.files.set('fleet', this.base);
  }

  public get deployment(): Deployment {
    if (this.current === null) throw new Error('the scenario has not started any entries');
    return this.current;
  }

  public get invariants(): Invariants {
    if (this.checks === null) throw new Error('the scenario has not started any entries');
    return this.checks;
  }

  public get started(): boolean {
    return this.current !== null;
  }

  /** Starts entries and applies the first file. */
  public async start(entries: number): Promise<void> {
    this.current = new Deployment({
      seed: this.seed, fleetFile: this.base, entries, log: this.log, meter: this.meter,
    });
    this.checks = new Invariants(this);
    for (const name of this.current.names) this.current.start(name);
    await this.advance(3_000);
    this.apply('setup', 'fleet', 'n1');
    await this.advance(5_000);
  }

  /** Entry by name; `holder` is the one that may plan the fleet now. */
  public entry(name: string): DeployedEntry {
    const found = name === 'holder' ? this.holders()[0] : this.deployment.get(name);
    if (found === undefined) throw new Error(`no entry ${name}`);
    return found;
  }

  /** Entries that may plan the fleet at this moment. */
  public holders(): DeployedEntry[] {
    return this.deployment.alive().filter(({ entry }) => entry.holdsAuthority());
  }

  public caller(name: string): ScenarioCaller {
    const found = this.callers.get(name);
    if (found === undefined) throw new Error(`no caller ${name}`);
    return found;
  }

  public send(name: string, at: string, tokens: { prompt: number; answer: number }, priority = Priority.Normal): void {
    const caller = new ScenarioCaller(this.deployment.clock, name, tokens.answer, tokens.prompt);
    this.callers.set(name, caller);
    void caller.send(this.entry(at), priority);
  }

  public book(name: string, key: string, at: string): void {
    const booking: ScenarioBooking = { key, result: null };
    this.bookings.set(name, booking);
    const { entry, process } = this.entry(at);
    void entry.callService({
      workspace: 'default',
      service: 'ledger',
      operation: 'order',
      body: key,
      deadlineMs: BOOKING_DEADLINE_MS,
      idempotencyKey: key,
    }).then(async (result) => {
      await process.gate();
      booking.result = result;
    });
  }

  /** Makes a variant of a file. */
  public edit(name: string, from: string, section: string, key: string, value: string): void {
    this.files.set(name, editFleet(this.file(from), section, key, value));
  }

  public file(name: string): string {
    const file = this.files.get(name);
    if (file === undefined) throw new Error(`no file ${name}`);
    return file;
  }

  public apply(operator: string, file: string, at: string, baseRevision?: number): void {
    this.applies.set(operator, null);
    const { entry, process } = this.entry(at);
    void entry.apply(this.file(file), baseRevision, APPLY_TIMEOUT_MS).then(async (outcome) => {
      await process.gate();
      this.applies.set(operator, outcome);
    });
  }

  public drain(name: string): void {
    this.drains.set(name, null);
    const deployed = this.entry(name);
    void deployed.entry.drain().then((report) => {
      this.drains.set(deployed.name, report);
      deployed.entry.dispose();
      for (const caller of this.callers.values()) caller.entryKilled(deployed.name);
      this.deployment.kill(deployed.name);
    });
  }

  public kill(name: string): void {
    const deployed = this.entry(name);
    this.deployment.kill(deployed.name);
    for (const caller of this.callers.values()) caller.entryKilled(deployed.name);
  }

  /** Marks a host as leaving in the platform's list. */
  public hostLeaves(host: string): void {
    const { fleet, standIns } = this.deployment;
    const failureDomain = [...fleet.engines, ...fleet.servers].find((spec) => spec.host === host)?.failureDomain;
    if (failureDomain === undefined) throw new Error(`no host ${host}`);
    standIns.hosts.set(host, failureDomain, HostState.Leaving);
  }

  /** How often engines have started a prompt from its beginning. */
  public startsOf(prompt: string): number {
    const engines = [...this.deployment.standIns.engines.values()];
    return engines.reduce((sum, { prompts }) => sum + (prompts.get(prompt) ?? 0), 0);
  }

  /** Calls to the key-value service so far; a waiting watch counts once. */
  public serviceCalls(): number {
    return Object.values(this.deployment.standIns.store.calls).reduce((sum, calls) => sum + calls, 0);
  }

  /** Lets time pass and checks the invariants on the way. */
  public async advance(durationMs: number): Promise<void> {
    const end = this.deployment.clock.monotonic() + durationMs;
    while (this.deployment.clock.monotonic() < end) {
      await this.deployment.clock.advance(Math.min(CHECK_PERIOD_MS, end - this.deployment.clock.monotonic()));
      this.invariants.check();
    }
  }

  /** Breaches of the invariants so far; empty is good. */
  public breaches(): readonly string[] {
    return this.invariants.breaches;
  }
}
