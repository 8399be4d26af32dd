import type { AddressAnswer } from '../core/membership/index.js';
import { Priority } from '../core/interfaces/index.js';
import { Deployment } from '../emulator/deployment.js';
import type { DeployedEntry } from '../emulator/deployment.js';
import { SeededRandom } from '../emulator/random.js';
import { CountingMeter, RecordingLog } from '../emulator/recording.js';
import { ScenarioCaller } from '../scenario/caller.js';
import { scenarioFleet } from '../scenario/fleets.js';

const CALLERS = 24;
const CALL_PERIOD_MS = 50;
const POLL_PERIOD_MS = 50;
const DEADLINE_MS = 2_000;
const PROMPT_TOKENS = 200;
const ANSWER_TOKENS = 40;

/** Share and length in tokens of the answers that take longer than the time limit of a drain. */
const STRAGGLER_SHARE = 0.02;
const STRAGGLER_TOKENS = 4_000;

/** Number of entries in the simulated deployment. */
export const ENTRY_COUNT = 6;
const FLEET = { engines: 8, servers: 4 };

/** Entry address that a caller has cached. */
interface CachedAddress {
  readonly answer: AddressAnswer;
  /** Monotonic time in ms. */
  readonly expiresAt: number;
}

/** Callers that cache entry addresses and send calls to complete entries, on a simulated clock. */
export class LeavingLoad {
  public readonly deployment: Deployment;

  /** Fleet file that {@link start} applies. */
  public readonly fleetFile = scenarioFleet(FLEET);

  /** Monotonic time in ms of the last call sent to each backend server, by its name. */
  public readonly lastCallAt = new Map<string, number>();

  /** Calls sent, calls answered in full, calls cut, and answers resumed at another entry. */
  public readonly counts = {
    calls: 0, answers: 0, cut: 0, resumed: 0,
  };

  /** Number of calls that were cut, by what the caller saw. */
  public readonly cuts: Record<string, number> = {};

  private readonly random: SeededRandom;

  /** By the index of the caller. */
  private readonly cachedAddresses = new Map<number, CachedAddress>();

  private readonly openRequests = new Set<ScenarioCaller>();

  /** Names of entries that were stopped and not restarted yet. */
  private readonly closedEntries = new Set<string>();

  private callsStarted = 0;

  private stopped = false;

  public constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.deployment = new Deployment({
      seed, fleetFile: this.fleetFile, entries: ENTRY_COUNT, log: new RecordingLog(), meter: new CountingMeter(),
    });
    const { engines, services } = this.deployment.standIns;
    for (const engine of engines.values()) this.recordCallTimes(engine, 'generate');
    for (const service of services.values()) this.recordCallTimes(service, 'call');
  }

  /** Starts all entries, applies the fleet file and starts to send calls. */
  public async start(): Promise<void> {
    const { deployment } = this;
    for (const name of deployment.names) deployment.start(name);
    await deployment.clock.advance(3_000);
    void deployment.get(deployment.names[0]!)!.entry.apply(this.fleetFile, undefined, 2_000);
    await deployment.clock.advance(6_000);
    this.sendNext();
    this.pollRequests();
    await deployment.clock.advance(3_000);
  }

  /** Stops sending and waits for the running calls; those still open after 300 s of simulated time count as cut. */
  public async finish(): Promise<void> {
    this.stopped = true;
    await this.deployment.clock.advance(DEADLINE_MS);
    for (let step = 0; this.openRequests.size > 0 && step < 300; step += 1) await this.deployment.clock.advance(1_000);
    for (let index = 0; index < this.openRequests.size; index += 1) this.recordCut('unfinished');
  }

  /** Ends the process of an entry after its drain. */
  public closeEntry(name: string): void {
    this.closedEntries.add(name);
    this.deployment.kill(name);
    for (const caller of this.openRequests) caller.handleEntryKilled(name);
  }

  /** Starts a new process at the address of a stopped entry. */
  public restartEntry(name: string): void {
    this.deployment.start(name);
    this.closedEntries.delete(name);
  }

  /** Wraps a method of a backend server to record the time of its last call. */
  private recordCallTimes(server: { readonly name: string }, method: string): void {
    const inner = Reflect.get(server, method) as (...args: unknown[]) => unknown;
    Reflect.set(server, method, (...args: unknown[]) => {
      this.lastCallAt.set(server.name, this.deployment.clock.monotonic());
      return inner.apply(server, args);
    });
  }

  private sendNext(): void {
    if (this.stopped) return;
    const caller = this.callsStarted % CALLERS;
    this.callsStarted += 1;
    if (this.random.float() < 0.5) void this.callService(caller);
    else this.sendGeneration(caller);
    this.deployment.clock.after(CALL_PERIOD_MS, () => this.sendNext());
  }

  /**
   * Returns the entry at the caller's cached address, or `null` if no entry listens there. An expired address is
   * replaced by the answer of a random entry.
   */
  private resolveEntry(caller: number): DeployedEntry | null {
    const time = this.deployment.clock.monotonic();
    let cached = this.cachedAddresses.get(caller);
    if (cached === undefined || cached.expiresAt <= time) {
      const queriedEntry = this.random.pick(this.openEntries());
      const answer = queriedEntry.entry.address();
      if (!answer.success) return null;
      cached = { answer: answer.data, expiresAt: time + answer.data.keepMs };
      this.cachedAddresses.set(caller, cached);
    }
    const { address } = cached.answer;
    return this.openEntries().find(({ entry }) => entry.callerAddress === address) ?? null;
  }

  /** Entries that run and were not stopped. */
  private openEntries(): DeployedEntry[] {
    return this.deployment.alive().filter(({ name }) => !this.closedEntries.has(name));
  }

  private async callService(caller: number): Promise<void> {
    this.counts.calls += 1;
    const targetEntry = this.resolveEntry(caller);
    if (targetEntry === null) {
      this.recordCut('nobody at the address');
      return;
    }
    const booking = this.random.float() < 0.5;
    const body = `call ${this.callsStarted}`;
    const answer = await targetEntry.entry.callService({
      workspace: 'default',
      service: 'ledger',
      operation: booking ? 'order' : 'stock',
      body,
      deadlineMs: DEADLINE_MS,
      ...(booking ? { idempotencyKey: body } : {}),
    });
    if (answer.success) this.counts.answers += 1;
    else this.recordCut(`service: ${answer.error.code}`);
  }

  private sendGeneration(caller: number): void {
    this.counts.calls += 1;
    const targetEntry = this.resolveEntry(caller);
    if (targetEntry === null) {
      this.recordCut('nobody at the address');
      return;
    }
    const tokens = this.random.float() < STRAGGLER_SHARE ? STRAGGLER_TOKENS : ANSWER_TOKENS;
    const request = new ScenarioCaller(this.deployment.clock, `caller ${this.callsStarted}`, tokens, PROMPT_TOKENS);
    this.openRequests.add(request);
    void request.send(targetEntry, Priority.Normal);
  }

  /** Checks the open answers periodically: counts ended ones, and resumes those handed over at another entry. */
  private pollRequests(): void {
    for (const caller of this.openRequests) {
      const { state } = caller;
      if (state.type === 'waiting' || state.type === 'reading') continue;
      if (state.type === 'interrupted' && state.resumable) {
        this.counts.resumed += 1;
        const usable = this.openEntries().filter(({ entry }) => entry.ready());
        void caller.resume(this.random.pick(usable));
        continue;
      }
      this.openRequests.delete(caller);
      if (state.type === 'whole' && caller.text === caller.expected) this.counts.answers += 1;
      else this.recordCut(state.type === 'refused' ? `generate: ${state.refusal.code}` : `generate: ${state.type}`);
    }
    this.deployment.clock.after(POLL_PERIOD_MS, () => this.pollRequests());
  }

  private recordCut(reason: string): void {
    this.counts.cut += 1;
    this.cuts[reason] = (this.cuts[reason] ?? 0) + 1;
  }
}
