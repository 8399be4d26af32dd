import type { AddressAnswer } from '../core/membership/index.js';
import { Priority } from '../core/interfaces/index.js';
import { Deployment } from '../emulator/deployment.js';
import type { DeployedEntry } from '../emulator/deployment.js';
import { SeededRandom } from '../emulator/random.js';
import { CountingMeter, RecordingLog } from '../emulator/recording.js';
import { ScenarioCaller } from '../scenario/caller.js';
import { scenarioFleet } from '../scenario/fleets.js';

const CALLERS = 24;
const CALL_EVERY_MS = 50;
const POLL_MS = 50;
const DEADLINE_MS = 2_000;
const PROMPT_TOKENS = 200;
const ANSWER_TOKENS = 40;

/** Answers that run longer than the drain bound, as a share of all and in tokens. */
const STRAGGLER_SHARE = 0.02;
const STRAGGLER_TOKENS = 4_000;

export const LOAD_ENTRIES = 6;
const FLEET = { engines: 8, servers: 4 };

interface Kept {
  readonly answer: AddressAnswer;
  readonly until: number;
}

/** Callers that keep address answers and send calls to whole entries, on a simulated clock. */
export class LeavingLoad {
  public readonly deployment: Deployment;

  public readonly fleetFile = scenarioFleet(FLEET);

  /** Monotonic time in ms of the last call sent to each backend server. */
  public readonly lastWork = new Map<string, number>();

  public readonly counts = {
    calls: 0, answers: 0, cut: 0, resumed: 0,
  };

  /** Requests that were cut, by what the caller saw. */
  public readonly cuts: Record<string, number> = {};

  private readonly random: SeededRandom;

  private readonly kept = new Map<number, Kept>();

  private readonly reading = new Set<ScenarioCaller>();

  private readonly closed = new Set<string>();

  private sent = 0;

  private stopped = false;

  public constructor(seed: number) {
    this.random = new SeededRandom(seed);
    this.deployment = new Deployment({
      seed, fleetFile: this.fleetFile, entries: LOAD_ENTRIES, log: new RecordingLog(), meter: new CountingMeter(),
    });
    const { engines, services } = this.deployment.standIns;
    for (const engine of engines.values()) this.watch(engine, 'generate');
    for (const service of services.values()) this.watch(service, 'call');
  }

  /** Starts all entries, applies the fleet file and begins to send. */
  public async start(): Promise<void> {
    const { deployment } = this;
    for (const name of deployment.names) deployment.start(name);
    await deployment.clock.advance(3_000);
    void deployment.get(deployment.names[0]!)!.entry.apply(this.fleetFile, undefined, 2_000);
    await deployment.clock.advance(6_000);
    this.sendNext();
    this.follow();
    await deployment.clock.advance(3_000);
  }

  /** Stops sending and lets everything end that still runs. */
  public async finish(): Promise<void> {
    this.stopped = true;
    await this.deployment.clock.advance(DEADLINE_MS);
    for (let round = 0; this.reading.size > 0 && round < 300; round += 1) await this.deployment.clock.advance(1_000);
    for (let index = 0; index < this.reading.size; index += 1) this.cut('unfinished');
  }

  /** Ends a process whose planned stop is over. */
  public close(name: string): void {
    this.closed.add(name);
    this.deployment.kill(name);
    for (const caller of this.reading) caller.entryKilled(name);
  }

  /** Starts a new process at the address of a closed one. */
  public reopen(name: string): void {
    this.deployment.start(name);
    this.closed.delete(name);
  }

  private watch(server: { readonly name: string }, method: string): void {
    const inner = Reflect.get(server, method) as (...args: unknown[]) => unknown;
    Reflect.set(server, method, (...args: unknown[]) => {
      this.lastWork.set(server.name, this.deployment.clock.monotonic());
      return inner.apply(server, args);
    });
  }

  private sendNext(): void {
    if (this.stopped) return;
    const caller = this.sent % CALLERS;
    this.sent += 1;
    if (this.random.float() < 0.5) void this.callService(caller);
    else this.generate(caller);
    this.deployment.clock.after(CALL_EVERY_MS, () => this.sendNext());
  }

  /** Entry at the kept address, or `null` where nobody listens; a stale answer is renewed at any entry. */
  private entryOf(caller: number): DeployedEntry | null {
    const time = this.deployment.clock.monotonic();
    let kept = this.kept.get(caller);
    if (kept === undefined || kept.until <= time) {
      const asked = this.random.pick(this.open());
      const answer = asked.entry.address();
      if (!answer.success) return null;
      kept = { answer: answer.data, until: time + answer.data.keepMs };
      this.kept.set(caller, kept);
    }
    const { address } = kept.answer;
    return this.open().find(({ entry }) => entry.callerAddress === address) ?? null;
  }

  private open(): DeployedEntry[] {
    return this.deployment.alive().filter(({ name }) => !this.closed.has(name));
  }

  private async callService(caller: number): Promise<void> {
    this.counts.calls += 1;
    const at = this.entryOf(caller);
    if (at === null) {
      this.cut('nobody at the address');
      return;
    }
    const booking = this.random.float() < 0.5;
    const body = `call ${this.sent}`;
    const answer = await at.entry.callService({
      workspace: 'default',
      service: 'ledger',
      operation: booking ? 'order' : 'stock',
      body,
      deadlineMs: DEADLINE_MS,
      ...(booking ? { idempotencyKey: body } : {}),
    });
    if (answer.success) this.counts.answers += 1;
    else this.cut(`service: ${answer.error.code}`);
  }

  private generate(caller: number): void {
    this.counts.calls += 1;
    const at = this.entryOf(caller);
    if (at === null) {
      this.cut('nobody at the address');
      return;
    }
    const tokens = this.random.float() < STRAGGLER_SHARE ? STRAGGLER_TOKENS : ANSWER_TOKENS;
    const request = new ScenarioCaller(this.deployment.clock, `caller ${this.sent}`, tokens, PROMPT_TOKENS);
    this.reading.add(request);
    void request.send(at, Priority.Normal);
  }

  /** Follows the answers that are being read; handed-over ones go on at another entry. */
  private follow(): void {
    for (const caller of this.reading) {
      const { state } = caller;
      if (state.type === 'waiting' || state.type === 'reading') continue;
      if (state.type === 'interrupted' && state.resumable) {
        this.counts.resumed += 1;
        const usable = this.open().filter(({ entry }) => entry.ready());
        void caller.resume(this.random.pick(usable));
        continue;
      }
      this.reading.delete(caller);
      if (state.type === 'whole' && caller.text === caller.expected) this.counts.answers += 1;
      else this.cut(state.type === 'refused' ? `generate: ${state.refusal.code}` : `generate: ${state.type}`);
    }
    this.deployment.clock.after(POLL_MS, () => this.follow());
  }

  private cut(reason: string): void {
    this.counts.cut += 1;
    this.cuts[reason] = (this.cuts[reason] ?? 0) + 1;
  }
}
