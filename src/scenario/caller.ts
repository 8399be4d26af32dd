import { Priority } from '../core/interfaces/index.js';
import type { Clock } from '../core/interfaces/index.js';
import type { Refusal } from '../core/refusals.js';
import type { Result } from '../core/result.js';
import type { Answer, GenerateRequest } from '../daemon/api.js';
import type { DeployedEntry } from '../emulator/deployment.js';
import { answerText } from '../emulator/text.js';

/** What a caller has seen of its answer. */
export type CallerState =
  | { readonly type: 'waiting' }
  | { readonly type: 'reading' }
  | { readonly type: 'whole' }
  | { readonly type: 'refused'; readonly refusal: Refusal }
  /** The connection ended before the answer did. */
  | { readonly type: 'broken' }
  | { readonly type: 'interrupted'; readonly resumable: boolean; readonly refusal: Refusal };

const MAX_TOKENS = 8_192;

/** Caller of a scenario: sends one prompt and may continue its answer at other entries. */
export class ScenarioCaller {
  public state: CallerState = { type: 'waiting' };

  public text = '';

  public firstTokenAt: number | null = null;

  public readonly sentAt: number;

  private lastEventId: string | null = null;

  private at: DeployedEntry | null = null;

  private answer: Answer | null = null;

  /** Counts the connections of this caller, so that a broken one is not read any more. */
  private connection = 0;

  public readonly request: GenerateRequest;

  /** Whole answer that the engines give to this prompt. */
  public readonly expected: string;

  public constructor(private readonly clock: Clock, name: string, answerTokens: number, promptTokens: number) {
    this.sentAt = clock.monotonic();
    const directive = `question of ${name} [answer-tokens=${answerTokens}] `;
    this.request = {
      workspace: 'default',
      model: 'advice',
      prompt: directive.padEnd(promptTokens * 4, 'x'),
      kind: 'scenario',
      maxTokens: MAX_TOKENS,
      priority: Priority.Normal,
      deadlineMs: 20_000,
    };
    this.expected = answerText(this.request.prompt, MAX_TOKENS);
  }

  public async send(at: DeployedEntry, priority: Priority): Promise<void> {
    await this.connect(at, at.entry.generate({ ...this.request, priority }));
  }

  public async resume(at: DeployedEntry): Promise<void> {
    if (this.lastEventId === null) {
      await this.send(at, Priority.Normal);
      return;
    }
    await this.connect(at, at.entry.resume(this.lastEventId));
  }

  public disconnect(): void {
    this.connection += 1;
    this.answer?.close();
    this.state = { type: 'broken' };
  }

  /** Notes that the process of an entry has ended and broken its connections. */
  public entryKilled(name: string): void {
    if (this.at?.name !== name) return;
    if (this.state.type !== 'waiting' && this.state.type !== 'reading') return;
    this.connection += 1;
    this.state = { type: 'broken' };
  }

  private async connect(at: DeployedEntry, opening: Promise<Result<Answer, Refusal>>): Promise<void> {
    this.connection += 1;
    const { connection } = this;
    this.at = at;
    this.state = { type: 'waiting' };
    const opened = await opening;
    if (connection !== this.connection) return;
    if (!opened.success) {
      this.state = { type: 'refused', refusal: opened.error };
      return;
    }
    this.answer = opened.data;
    this.state = { type: 'reading' };
    for await (const event of opened.data.events) {
      if (connection !== this.connection) return;
      switch (event.type) {
        case 'token':
          this.firstTokenAt ??= this.clock.monotonic();
          this.text += event.text;
          this.lastEventId = event.eventId;
          break;
        case 'end':
          this.state = { type: 'whole' };
          return;
        case 'interrupted':
        default:
          this.state = event;
          return;
      }
    }
    if (connection === this.connection) this.state = { type: 'broken' };
  }
}
