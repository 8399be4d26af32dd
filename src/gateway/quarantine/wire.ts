import { z } from 'zod';
import { pack, safeUnpack } from '../packing.js';
import {
  MAX_ENDS, MAX_KEYS_PER_RUN, MAX_PARTS, MAX_RUNS, Override,
} from './evidence.js';
import type { EndState, News, PartState } from './evidence.js';

/** First byte of a datagram of the quarantine; no MessagePack value begins with it. */
const TAG = 0xc1;

/** Largest size of a datagram in bytes, so that it is not fragmented. */
const MAX_DATAGRAM_BYTES = 1_200;

/** Age in ms; `null` for what has not happened. */
const ageSchema = z.number().min(0).nullable();

const countSchema = z.number().int().min(0);

const keySchema = z.string().max(300);

const runSchema = z.tuple([z.string().max(200), z.number(), z.array(keySchema).max(MAX_KEYS_PER_RUN)]);

/** Incarnation, age of its end, whether that is refuted, and its runs with request id, age and keys. */
const endSchema = z.tuple([z.string().max(300), z.number(), z.boolean(), z.array(runSchema).max(MAX_RUNS)]);

/** Key, age of the proof, verdict, age of the quarantine, trials, age of the last one, override and orders. */
const partSchema = z.tuple([
  keySchema, ageSchema, countSchema, ageSchema, countSchema, ageSchema, z.enum(Override), countSchema,
]);

/** What one gateway tells another. */
export const newsSchema = z.object({
  ends: z.array(endSchema).max(MAX_ENDS),
  parts: z.array(partSchema).max(MAX_PARTS),
});

/** What one gateway tells another, with ages in place of times, because gateways have no clock in common. */
export type WireNews = z.infer<typeof newsSchema>;

const datagramSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('digest'), from: z.string().max(200), digest: z.number() }),
  z.object({ type: z.literal('news'), news: newsSchema }),
]);

/** Datagram of the quarantine. */
export type QuarantineDatagram = z.infer<typeof datagramSchema>;

function toAge(at: number, now: number): number | null {
  return at === -Infinity ? null : Math.max(0, now - at);
}

function toTime(age: number | null, now: number): number {
  return age === null ? -Infinity : now - age;
}

function encodeEnd(
  [incarnation, { at, refuted, runs }]: readonly [string, EndState],
  now: number,
): WireNews['ends'][0] {
  return [incarnation, now - at, refuted, [...runs].map(([request, { sentAt, keys }]) => (
    [request, now - sentAt, [...keys]]
  ))];
}

function encodePart([key, part]: readonly [string, PartState], now: number): WireNews['parts'][0] {
  const {
    provenAt, verdict, quarantinedAt, trials, trialAt, override, orders,
  } = part;
  return [key, toAge(provenAt, now), verdict, toAge(quarantinedAt, now), trials, toAge(trialAt, now), override, orders];
}

/** Encodes news at a monotonic time in ms. */
export function encodeNews({ ends, parts }: News, now: number): WireNews {
  return { ends: [...ends].map((end) => encodeEnd(end, now)), parts: [...parts].map((part) => encodePart(part, now)) };
}

/** Decodes news that has been received at a monotonic time in ms. */
export function decodeNews({ ends, parts }: WireNews, now: number): News {
  return {
    ends: new Map(ends.map(([incarnation, age, refuted, runs]) => [incarnation, {
      at: now - age,
      refuted,
      runs: new Map(runs.map(([request, sentAge, keys]) => [request, { sentAt: now - sentAge, keys }])),
    }])),
    parts: new Map(parts.map(([key, provenAge, verdict, quarantinedAge, trials, trialAge, override, orders]) => [key, {
      provenAt: toTime(provenAge, now),
      verdict,
      quarantinedAt: toTime(quarantinedAge, now),
      trials,
      trialAt: toTime(trialAge, now),
      override,
      orders,
    }])),
  };
}

/** Encodes a datagram. */
export function packDatagram(datagram: QuarantineDatagram): Uint8Array {
  const bytes = pack(datagram);
  const message = new Uint8Array(bytes.length + 1);
  message[0] = TAG;
  message.set(bytes, 1);
  return message;
}

/** Decodes a datagram; `null` for one of another kind or a malformed one. */
export function unpackDatagram(message: Uint8Array): QuarantineDatagram | null {
  if (message[0] !== TAG) return null;
  const parsed = datagramSchema.safeParse(safeUnpack(message.subarray(1)));
  return parsed.success ? parsed.data : null;
}

/** Splits news into datagrams; an item that is too large for one is left to the repair by exchange. */
export function packNews(news: WireNews): readonly Uint8Array[] {
  const whole = packDatagram({ type: 'news', news });
  if (whole.length <= MAX_DATAGRAM_BYTES) return [whole];
  const { ends, parts } = news;
  if (ends.length + parts.length <= 1) return [];
  const halfOf = <T>(items: readonly T[], first: boolean): T[] => {
    const middle = Math.ceil(items.length / 2);
    return first ? items.slice(0, middle) : items.slice(middle);
  };
  // A single end and a single part would stay together in the first half.
  if (ends.length <= 1 && parts.length <= 1) {
    return [...packNews({ ends, parts: [] }), ...packNews({ ends: [], parts })];
  }
  return [true, false].flatMap((first) => packNews({ ends: halfOf(ends, first), parts: halfOf(parts, first) }));
}
