import { Priority } from '../core/interfaces/index.js';
import type { Clock } from '../core/interfaces/index.js';
import type { Refusal } from '../core/refusals.js';
import type { Result } from '../core/result.js';
import type { Answer, GenerateRequest } from '../daemon/api.js';
import type { DeployedEntry } from '../emulator/deployment.js';
import { answerText } from '../emulator/text.js';

/** State of the answer as the caller sees it; `broken` and `interrupted` answers can be resumed at another entry. */
export type CallerState =
  | { readonly type: 'waiting' }
  | { readonly type: 'reading' }
  | { readonly type: 'whole' }
  | { readonly type: 'refused'; readonly refusal: Refusal }
  /** The connection ended before the answer was complete. */
  | { readonly type: 'broken' }
  | { readonly type: 'interrupted'; readonly resumable: boolean; readonly refusal: Refusal };

/** Token limit of each request; scenarios ask for fewer in the prompt itself. */
const MAX_TOKENS = 8_192;

/** Caller of a scenario: sends one prompt and may continue its answer at other entries. */
export class ScenarioCaller {
  public state: CallerState = { type: 'waiting' };

  /** Text received so far, over all connections. */
  public text = '';

  /** Time in ms on the simulated clock, or `null` before the first token. */
  public firstTokenAt: number | null = null;

  public readonly sentAt: number;

  private lastEventId: string | null = null;

  private connectedEntry: DeployedEntry | null = null;

  private answer: Answer | null = null;

  /** Incremented for each connection, so that events of an earlier connection are ignored. */
  private connectionNumber = 0;

  public readonly request: GenerateRequest;

  /** Complete text that the engines generate for this prompt. */
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

  /** Sends the request to an entry and reads the answer until it ends or the connection is replaced. */
  public async send(at: DeployedEntry, priority: Priority): Promise<void> {
    await this.connect(at, at.entry.generate({ ...this.request, priority }));
  }

  /** Continues the answer at another entry, or sends the request anew if no token has arrived yet. */
  public async resume(at: DeployedEntry): Promise<void> {
    if (this.lastEventId === null) {
      await this.send(at, Priority.Normal);
      return;
    }
    await this.connect(at, at.entry.resume(this.lastEventId));
  }

  /** Closes the connection from the side of the caller. */
  public disconnect(): void {
    this.connectionNumber += 1;
    this.answer?.close();
    this.state = { type: 'broken' };
  }

  /** Marks the answer as broken if it came from the entry `name`, whose process has ended. */
  public handleEntryKilled(name: string): void {
    if (this.connectedEntry?.name !== name) return;
    if (this.state.type !== 'waiting' && this.state.type !== 'reading') return;
    this.connectionNumber += 1;
    this.state = { type: 'broken' };
  }

  private async connect(at: DeployedEntry, pendingAnswer: Promise<Result<Answer, Refusal>>): Promise<void> {
    this.connectionNumber += 1;
    const { connectionNumber } = this;
    this.connectedEntry = at;
    this.state = { type: 'waiting' };
    const result = await pendingAnswer;
    if (connectionNumber !== this.connectionNumber) return;
    if (!result.success) {
      this.state = { type: 'refused', refusal: result.error };
      return;
    }
    this.answer = result.data;
    this.state = { type: 'reading' };
    for await (const event of result.data.events) {
      if (connectionNumber !== this.connectionNumber) return;
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
    if (connectionNumber === this.connectionNumber) this.state = { type: 'broken' };
  }
}
