import { createHmac, timingSafeEqual } from 'node:crypto';
import { z } from 'zod';
import type { EngineEvent } from '../interfaces/index.js';
import { fail, ok } from '../result.js';
import type { Result } from '../result.js';

/** Identifies a running answer, so that a caller can resume it. */
const ticketSchema = z.strictObject({
  engine: z.string().min(1),
  requestId: z.string().min(1),
  attemptId: z.string().min(1),
  workspace: z.string().min(1),
});

/** Ticket with which a caller can resume an answer after a broken connection. */
export type StreamTicket = z.infer<typeof ticketSchema>;

/** Position up to which a caller has received an answer. */
export interface StreamPosition {
  readonly ticket: StreamTicket;
  /** Index of the last token that the caller has received. */
  readonly index: number;
}

/** Signs and verifies event ids with a key that all entries share. */
export class TicketSigner {
  public constructor(private readonly key: string) {}

  /** Signed text form of a ticket, created once per attempt; event ids append the token index to it. */
  public sign(ticket: StreamTicket): string {
    const parts = [ticket.engine, ticket.requestId, ticket.attemptId, ticket.workspace];
    const body = Buffer.from(JSON.stringify(parts)).toString('base64url');
    return `${body}.${this.mac(body)}`;
  }

  /** Verifies and parses an event id of the form `<ticket>.<index>`. */
  public safeParse(eventId: string): Result<StreamPosition, 'invalid_event_id'> {
    const [body, mac, index, ...rest] = eventId.split('.');
    if (body === undefined || mac === undefined || index === undefined || rest.length > 0) return fail('invalid_event_id');
    const expected = Buffer.from(this.mac(body));
    const given = Buffer.from(mac);
    if (expected.length !== given.length || !timingSafeEqual(expected, given)) return fail('invalid_event_id');
    if (!/^\d{1,9}$/.test(index)) return fail('invalid_event_id');
    // The signature proves that an entry wrote the body, so it is well formed.
    const [engine, requestId, attemptId, workspace] = JSON.parse(Buffer.from(body, 'base64url').toString()) as string[];
    const ticket = ticketSchema.safeParse({
      engine, requestId, attemptId, workspace,
    });
    if (!ticket.success) return fail('invalid_event_id');
    return ok({ ticket: ticket.data, index: Number(index) });
  }

  private mac(body: string): string {
    return createHmac('sha256', this.key).update(body).digest('base64url').slice(0, 22);
  }
}

/** What the receiver must do with an engine event. */
export enum EventAction {
  Deliver = 'deliver',
  /** Belongs to another request or attempt, or was delivered before. */
  Drop = 'drop',
  /** At least one token before this event is missing. */
  Gap = 'gap',
}

/** Accepts each token of one attempt exactly once and in order. */
export class StreamAssembler {
  private nextTokenIndex: number;

  /** Number of dropped events. */
  public dropped = 0;

  public constructor(
    private readonly requestId: string,
    private readonly attemptId: string,
    firstIndex: number,
  ) {
    this.nextTokenIndex = firstIndex;
  }

  /** Index of the next token to deliver. */
  public get nextIndex(): number {
    return this.nextTokenIndex;
  }

  /** Decides about one event and advances the next index when it delivers a token. */
  public accept(event: EngineEvent): EventAction {
    const foreign = event.requestId !== this.requestId || event.attemptId !== this.attemptId;
    if (foreign || event.index < this.nextTokenIndex) {
      this.dropped += 1;
      return EventAction.Drop;
    }
    if (event.index > this.nextTokenIndex) return EventAction.Gap;
    if (event.type === 'token') this.nextTokenIndex += 1;
    return EventAction.Deliver;
  }
}
