import { Caller, createIdempotencyKey } from './caller.js';
import type { CompletedRequest } from './caller.js';
import type { Deployment } from './deployment.js';
import { SeededRandom } from '../emulator/random.js';
import { answerText } from '../emulator/text.js';

/** Class of generation requests of a user. */
export interface DemoClass {
  readonly name: string;
  readonly priority: 'urgent' | 'normal' | 'bulk';
  readonly workspace: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Requests per second in the first and in the second half of each load cycle. */
  readonly rates: readonly [first: number, second: number];
}

/** Load of one user; rates are in requests per second. */
export interface DemoLoad {
  readonly user: string;
  readonly model: string;
  readonly classes: readonly DemoClass[];
  readonly service: string;
  /** Non-idempotent operation and idempotent operation of the service. */
  readonly operations: readonly [booking: string, check: string];
  readonly bookingRate: number;
  readonly checkRate: number;
}

/** Load of the user in `examples/halvorsen`. */
export const HALVORSEN_LOAD: DemoLoad = {
  user: 'halvorsen',
  model: 'catalogue',
  classes: [
    {
      name: 'catalogue', priority: 'normal', workspace: 'outfitters', promptTokens: 6_000, outputTokens: 4, rates: [6, 1],
    },
    {
      name: 'reply', priority: 'normal', workspace: 'haberdashers', promptTokens: 300, outputTokens: 120, rates: [2, 8],
    },
    {
      name: 'urgent', priority: 'urgent', workspace: 'theatres', promptTokens: 200, outputTokens: 8, rates: [1, 1],
    },
  ],
  service: 'ledger',
  operations: ['order', 'stock'],
  bookingRate: 4,
  checkRate: 3,
};

/** Load of the user in `examples/galinheiro`. */
export const GALINHEIRO_LOAD: DemoLoad = {
  user: 'galinheiro',
  model: 'inspection',
  classes: [
    {
      name: 'notes', priority: 'normal', workspace: 'farms', promptTokens: 5_000, outputTokens: 3, rates: [5, 1],
    },
    {
      name: 'rental', priority: 'normal', workspace: 'families', promptTokens: 250, outputTokens: 100, rates: [2, 7],
    },
    {
      name: 'urgent', priority: 'urgent', workspace: 'farms', promptTokens: 200, outputTokens: 5, rates: [2, 2],
    },
  ],
  service: 'booking',
  operations: ['book', 'availability'],
  bookingRate: 4,
  checkRate: 3,
};

/** Ended request with its class and the result of its check. */
export interface RequestRecord extends CompletedRequest {
  readonly class: string;
  /** Whether the answer differs from the expected one, or the reported outcome from the runs in the ledger. */
  readonly isWrong: boolean;
}

const CYCLE_MS = 16_000;

const TICK_MS = 20;

const CALLER_COUNT = 24;

const CHARACTERS_PER_TOKEN = 4;

/** Sends the load of one user from several callers and checks every answer. */
export class LoadClient {
  /** Requests that have ended. */
  public readonly records: RequestRecord[] = [];

  /** Number of requests that have not ended yet. */
  public pendingRequests = 0;

  private readonly random: SeededRandom;

  private readonly callers: readonly Caller[];

  private sent = 0;

  public constructor(private readonly load: DemoLoad, private readonly deployment: Deployment, seed: number) {
    this.random = new SeededRandom(seed);
    const { addresses } = deployment;
    this.callers = Array.from({ length: CALLER_COUNT }, (_, index) => new Caller(addresses, index));
  }

  /** Sends requests for `durationMs`, waits until all of them have ended and closes the callers. */
  public async run(durationMs: number): Promise<void> {
    const started = performance.now();
    const pending = new Set<Promise<void>>();
    let last = started;
    for (let now = started; now - started < durationMs; now = performance.now()) {
      const elapsed = now - last;
      last = now;
      for (const send of this.createDueRequests(now - started, elapsed)) {
        this.pendingRequests += 1;
        const work = send().then((record) => {
          this.pendingRequests -= 1;
          this.records.push(record);
          pending.delete(work);
        });
        pending.add(work);
      }
      await new Promise((resolve) => {
        setTimeout(resolve, TICK_MS);
      });
    }
    await Promise.all(pending);
    await Promise.all(this.callers.map((caller) => caller.close()));
  }

  /** Number of non-idempotent operations that ran more than once according to the service's ledger. */
  public get runTwice(): number {
    const ledger = this.deployment.standIns.ledgers.get(this.load.service);
    const [booking] = this.load.operations;
    return [...ledger?.runs ?? []].filter(([key, runs]) => runs > 1 && key.includes(`/${booking}/`)).length;
  }

  /** Draws at random the requests for the last `elapsedMs`, at the rates of the current half of the load cycle. */
  private createDueRequests(timeMs: number, elapsedMs: number): (() => Promise<RequestRecord>)[] {
    const half = timeMs % CYCLE_MS < CYCLE_MS / 2 ? 0 : 1;
    const sends: (() => Promise<RequestRecord>)[] = [];
    const draw = (ratePerSecond: number, send: () => Promise<RequestRecord>): void => {
      if (this.random.float() < (ratePerSecond * elapsedMs) / 1_000) sends.push(send);
    };
    for (const demoClass of this.load.classes) draw(demoClass.rates[half], () => this.generate(demoClass));
    draw(this.load.bookingRate, () => this.sendBooking());
    draw(this.load.checkRate, () => this.sendCheck());
    return sends;
  }

  private pickCaller(): Caller {
    return this.callers[Math.floor(this.random.float() * this.callers.length)]!;
  }

  private async generate(demoClass: DemoClass): Promise<RequestRecord> {
    this.sent += 1;
    const head = `[answer-tokens=${demoClass.outputTokens}] request ${this.sent} of ${this.load.user}: `;
    const prompt = head.padEnd(demoClass.promptTokens * CHARACTERS_PER_TOKEN, 'pattern fits contract; ');
    const maxTokens = demoClass.outputTokens + 16;
    const completed = await this.pickCaller().generate({
      model: this.load.model,
      prompt,
      maxTokens,
      priority: demoClass.priority,
      workspace: demoClass.workspace,
      kind: demoClass.name,
    });
    const { ending } = completed;
    return {
      ...completed,
      class: demoClass.name,
      isWrong: ending.type === 'answered' && ending.text !== answerText(prompt, maxTokens),
    };
  }

  private countRuns(workspace: string, operation: string, body: string): number {
    return this.deployment.standIns.ledgers.get(this.load.service)?.runs.get(`${workspace}/${operation}/${body}`) ?? 0;
  }

  private async sendBooking(): Promise<RequestRecord> {
    this.sent += 1;
    const [operation] = this.load.operations;
    const { workspace } = this.load.classes[0]!;
    const body = JSON.stringify({ booking: this.sent });
    const completed = await this.pickCaller().call(`${this.load.service}/${operation}`, body, workspace, createIdempotencyKey());
    const { ending } = completed;
    const runs = this.countRuns(workspace, operation, body);
    const isWrong = (ending.type === 'answered' && runs !== 1) || (ending.type === 'refused' && ending.ran === 'no' && runs > 0);
    return { ...completed, class: 'booking', isWrong };
  }

  private async sendCheck(): Promise<RequestRecord> {
    this.sent += 1;
    const [, operation] = this.load.operations;
    const body = JSON.stringify({ check: this.sent });
    const completed = await this.pickCaller().call(`${this.load.service}/${operation}`, body, this.load.classes[0]!.workspace);
    const { ending } = completed;
    const answered = ending.type === 'answered' ? JSON.parse(ending.text) as { body?: string } : null;
    return { ...completed, class: 'check', isWrong: answered !== null && answered.body !== body };
  }
}
