import { z } from 'zod';
import { assertNever } from '../../core/result.js';
import { pack, safeUnpack } from '../packing.js';
import { MAX_CHAINED_PARTS } from './heldparts.js';

const timeSchema = z.number().finite();

const durationSchema = timeSchema.min(0);

const countSchema = z.number().int().min(0);

const ipSchema = z.string().max(64);

const engineSchema = z.string().max(200);

/** Waiting time, time to read and time saved in ms, or nothing where too little is known. */
const quoteSchema = z.tuple([durationSchema, durationSchema, durationSchema]).nullable();

const holderSchema = engineSchema.nullable();

/** Kinds of messages; one byte each. */
enum Kind {
  Ask = 0,
  Granted = 1,
  Waits = 2,
  Refused = 3,
  Done = 4,
}

/** Sender, ticket, engine, its birth, rank, times until target and expiry, parts by chain and tokens, and the offer. */
const askSchema = z.tuple([
  z.literal(Kind.Ask), ipSchema, countSchema, engineSchema, timeSchema, countSchema, timeSchema, timeSchema,
  z.array(z.tuple([countSchema, countSchema])).max(MAX_CHAINED_PARTS),
  z.tuple([durationSchema, durationSchema, timeSchema]).nullable(),
]);

/** Ticket, places taken before, quote and holder. */
const grantedSchema = z.tuple([z.literal(Kind.Granted), countSchema, countSchema, quoteSchema, holderSchema]);

/** Ticket, quote and holder. */
const waitsSchema = z.tuple([z.literal(Kind.Waits), countSchema, quoteSchema, holderSchema]);

/** Ticket, and time in ms. */
const refusedSchema = z.tuple([z.literal(Kind.Refused), countSchema, durationSchema]);

/** Sender, ticket, engine, whether it has read the prompt, and the engine that got the call in place of it. */
const doneSchema = z.tuple([
  z.literal(Kind.Done), ipSchema, countSchema, engineSchema, z.boolean(), engineSchema.nullable(),
]);

const messageSchema = z.union([askSchema, grantedSchema, waitsSchema, refusedSchema, doneSchema]);

/** What a call would get at an engine; times in ms. */
interface WireQuote {
  readonly waitMs: number;
  readonly readMs: number;
  readonly savedMs: number;
}

/** Request for a place. */
export interface PlaceRequest {
  readonly type: 'ask';
  readonly from: string;
  readonly ticket: number;
  readonly engine: string;
  /** Unix time in ms at which the engine started. */
  readonly bornAt: number;
  readonly rank: number;
  /** Time in ms until the place is needed for an answer on time. */
  readonly targetInMs: number;
  /** Time in ms until the place is of no use. */
  readonly expiresInMs: number;
  /** Chain and tokens of each part of the prompt. */
  readonly parts: readonly (readonly [chain: number, tokens: number])[];
  /** Offer of another engine; a place is given out only at once and only if this engine is better. */
  readonly offer: { readonly totalMs: number; readonly readMs: number; readonly dueMs: number } | null;
}

/** End of a request or of the place that it got. */
export interface PlaceEnd {
  readonly type: 'done';
  readonly from: string;
  readonly ticket: number;
  readonly engine: string;
  /** Whether the engine has read the prompt. */
  readonly wasRead: boolean;
  /** Engine that got the call in place of this one. */
  readonly movedTo: string | null;
}

/** Answer to a request for a place; `holder` is an engine that has read the shared parts in place of the asked one. */
export type PlaceAnswer =
  | {
    readonly type: 'granted';
    readonly ticket: number;
    readonly ahead: number;
    readonly quote: WireQuote | null;
    readonly holder: string | null;
  }
  | { readonly type: 'waits'; readonly ticket: number; readonly quote: WireQuote | null; readonly holder: string | null }
  | { readonly type: 'refused'; readonly ticket: number; readonly afterMs: number };

/** Message between a gateway that needs a place at an engine and the one that gives out the engine's places. */
export type PlaceMessage = PlaceRequest | PlaceEnd | PlaceAnswer;

/** Time in ms that stands for one that never comes, which a message can't carry. */
const NEVER_MS = 1e9;

/** First element of a message, by which it is told from other datagrams. */
const TAG = 'p';

/** Limits a time in ms to what a message can carry. */
export function toWireMs(ms: number): number {
  return Math.round(Math.min(NEVER_MS, Math.max(-NEVER_MS, ms)));
}

function encodeQuote(quote: WireQuote | null): z.infer<typeof quoteSchema> {
  return quote === null ? null : [toWireMs(quote.waitMs), toWireMs(quote.readMs), toWireMs(quote.savedMs)];
}

function decodeQuote(quote: z.infer<typeof quoteSchema>): WireQuote | null {
  return quote === null ? null : { waitMs: quote[0], readMs: quote[1], savedMs: quote[2] };
}

function toTuple(message: PlaceMessage): z.infer<typeof messageSchema> {
  switch (message.type) {
    case 'ask': {
      const { offer } = message;
      return [
        Kind.Ask, message.from, message.ticket, message.engine, message.bornAt, message.rank, message.targetInMs,
        message.expiresInMs, message.parts.map(([chain, tokens]): [number, number] => [chain, tokens]),
        offer === null ? null : [toWireMs(offer.totalMs), toWireMs(offer.readMs), toWireMs(offer.dueMs)],
      ];
    }
    case 'granted': return [Kind.Granted, message.ticket, message.ahead, encodeQuote(message.quote), message.holder];
    case 'waits': return [Kind.Waits, message.ticket, encodeQuote(message.quote), message.holder];
    case 'refused': return [Kind.Refused, message.ticket, toWireMs(message.afterMs)];
    case 'done': return [Kind.Done, message.from, message.ticket, message.engine, message.wasRead, message.movedTo];
    default: return assertNever(message);
  }
}

function fromTuple(tuple: z.infer<typeof messageSchema>): PlaceMessage {
  switch (tuple[0]) {
    case Kind.Ask: {
      const [, from, ticket, engine, bornAt, rank, targetInMs, expiresInMs, parts, offer] = tuple;
      return {
        type: 'ask',
        from,
        ticket,
        engine,
        bornAt,
        rank,
        targetInMs,
        expiresInMs,
        parts,
        offer: offer === null ? null : { totalMs: offer[0], readMs: offer[1], dueMs: offer[2] },
      };
    }
    case Kind.Granted: {
      const [, ticket, ahead, quote, holder] = tuple;
      return {
        type: 'granted', ticket, ahead, quote: decodeQuote(quote), holder,
      };
    }
    case Kind.Waits: {
      const [, ticket, quote, holder] = tuple;
      return {
        type: 'waits', ticket, quote: decodeQuote(quote), holder,
      };
    }
    case Kind.Refused: return { type: 'refused', ticket: tuple[1], afterMs: tuple[2] };
    case Kind.Done: {
      const [, from, ticket, engine, wasRead, movedTo] = tuple;
      return {
        type: 'done', from, ticket, engine, wasRead, movedTo,
      };
    }
    default: return assertNever(tuple);
  }
}

/** Encodes a message as a datagram, without names of fields, because there are several for each call. */
export function encodePlaceMessage(message: PlaceMessage): Uint8Array {
  return pack([TAG, toTuple(message)]);
}

/** Decodes a datagram; `null` for one of another kind. */
export function decodePlaceMessage(bytes: Uint8Array): PlaceMessage | null {
  const unpacked = safeUnpack(bytes);
  if (!Array.isArray(unpacked) || unpacked.length !== 2 || unpacked[0] !== TAG) return null;
  const parsed = messageSchema.safeParse(unpacked[1]);
  return parsed.success ? fromTuple(parsed.data) : null;
}
