import { HostState, Priority } from '../core/interfaces/index.js';
import type { ApplyOutcome, DrainReport } from '../daemon/api.js';
import { Deployment } from '../emulator/deployment.js';
import type { DeployedEntry } from '../emulator/deployment.js';
import { CountingMeter, RecordingLog } from '../emulator/recording.js';
import { ScenarioCaller } from './caller.js';
import { editFleet, scenarioFleet } from './fleets.js';
import { Invariants } from './invariants.js';
import type { ObservedWorld, ScenarioBooking } from './invariants.js';

const ENGINE_COUNT = 4;
const SERVER_COUNT = 2;
const APPLY_TIMEOUT_MS = 5_000;
const BOOKING_DEADLINE_MS = 5_000;
/** Longest simulated time in ms between two checks of the invariants. */
const CHECK_PERIOD_MS = 100;

/** Everything that the steps of one scenario act on. */
export class World implements ObservedWorld {
  public readonly log = new RecordingLog();

  public readonly meter = new CountingMeter();

  public readonly callers = new Map<string, ScenarioCaller>();

  public readonly bookings = new Map<string, ScenarioBooking>();

  /** Outcomes of applied files by operator; `null` until they arrive. */
  public readonly applyOutcomes = new Map<string, ApplyOutcome | null>();

  /** Reports of drains by entry; `null` until they finish. */
  public readonly drainReports = new Map<string, DrainReport | null>();

  private readonly files = new Map<string, string>();

  private readonly baseFile = scenarioFleet({ engines: ENGINE_COUNT, servers: SERVER_COUNT });

  private currentDeployment: Deployment | null = null;

  private currentInvariants: Invariants | null = null;

  public constructor(private readonly seed: number) {
    this.files.set('fleet', this.baseFile);
  }

  public get deployment(): Deployment {
    if (this.currentDeployment === null) throw new Error('the scenario has not started any entries');
    return this.currentDeployment;
  }

  public get invariants(): Invariants {
    if (this.currentInvariants === null) throw new Error('the scenario has not started any entries');
    return this.currentInvariants;
  }

  public get isStarted(): boolean {
    return this.currentDeployment !== null;
  }

  /** Starts entries and applies the file `fleet`, with time to get ready before and to take effect after. */
  public async start(entries: number): Promise<void> {
    this.currentDeployment = new Deployment({
      seed: this.seed, fleetFile: this.baseFile, entries, log: this.log, meter: this.meter,
    });
    this.currentInvariants = new Invariants(this);
    for (const name of this.currentDeployment.names) this.currentDeployment.start(name);
    await this.advance(3_000);
    this.apply('setup', 'fleet', 'n1');
    await this.advance(5_000);
  }

  /** Returns an entry by name; `holder` is the one that holds authority now. Throws if there is none. */
  public entry(name: string): DeployedEntry {
    const found = name === 'holder' ? this.holders()[0] : this.deployment.get(name);
    if (found === undefined) throw new Error(`no entry ${name}`);
    return found;
  }

  /** Entries that hold the authority lease now, and so may plan the fleet. */
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
      await process.waitUntilRunning();
      booking.result = result;
    });
  }

  /** Adds a file that differs from the file `from` in one key. */
  public addFileVariant(name: string, from: string, section: string, key: string, value: string): void {
    this.files.set(name, editFleet(this.file(from), section, key, value));
  }

  public file(name: string): string {
    const file = this.files.get(name);
    if (file === undefined) throw new Error(`no file ${name}`);
    return file;
  }

  public apply(operator: string, file: string, at: string, baseRevision?: number): void {
    this.applyOutcomes.set(operator, null);
    const { entry, process } = this.entry(at);
    void entry.apply(this.file(file), baseRevision, APPLY_TIMEOUT_MS).then(async (outcome) => {
      await process.waitUntilRunning();
      this.applyOutcomes.set(operator, outcome);
    });
  }

  /** Drains an entry and ends its process afterwards. */
  public drain(name: string): void {
    this.drainReports.set(name, null);
    const deployed = this.entry(name);
    void deployed.entry.drain().then((report) => {
      this.drainReports.set(deployed.name, report);
      deployed.entry.dispose();
      for (const caller of this.callers.values()) caller.handleEntryKilled(deployed.name);
      this.deployment.kill(deployed.name);
    });
  }

  /** Ends the process of an entry without a drain. */
  public kill(name: string): void {
    const deployed = this.entry(name);
    this.deployment.kill(deployed.name);
    for (const caller of this.callers.values()) caller.handleEntryKilled(deployed.name);
  }

  /** Marks a host as leaving in the platform's host list. */
  public markHostLeaving(host: string): void {
    const { fleet, standIns } = this.deployment;
    const failureDomain = [...fleet.engines, ...fleet.servers].find((spec) => spec.host === host)?.failureDomain;
    if (failureDomain === undefined) throw new Error(`no host ${host}`);
    standIns.hosts.set(host, failureDomain, HostState.Leaving);
  }

  /** Number of times that engines have started this prompt from its beginning. */
  public countStarts(prompt: string): number {
    const engines = [...this.deployment.standIns.engines.values()];
    return engines.reduce((sum, { startsByPrompt: prompts }) => sum + (prompts.get(prompt) ?? 0), 0);
  }

  /** Number of calls to the key-value service so far; an open watch counts once. */
  public countServiceCalls(): number {
    return Object.values(this.deployment.standIns.store.calls).reduce((sum, calls) => sum + calls, 0);
  }

  /** Advances the simulated clock by `durationMs` and checks the invariants on the way. */
  public async advance(durationMs: number): Promise<void> {
    const end = this.deployment.clock.monotonic() + durationMs;
    while (this.deployment.clock.monotonic() < end) {
      await this.deployment.clock.advance(Math.min(CHECK_PERIOD_MS, end - this.deployment.clock.monotonic()));
      this.invariants.check();
    }
  }

  /** Violations of the invariants so far. */
  public violations(): readonly string[] {
    return this.invariants.violations;
  }
}
