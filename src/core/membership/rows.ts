import { z } from 'zod';
import type { Member } from './members.js';

/** What is known of a member; a later state wins over an earlier one at the same counter. */
export enum MemberState {
  Alive = 'alive',
  Suspect = 'suspect',
  Dead = 'dead',
}

/** Member with the version numbers that order what is said of it. */
export interface MemberRow {
  readonly member: Member;
  readonly state: MemberState;
  /** Raised only by the member itself, to refute a suspicion or to change its leaving flag. */
  readonly counter: number;
  /** Raised by the member with each change of load or revision. */
  readonly beat: number;
}

/** Most rows in one message; larger messages are refused. */
export const MESSAGE_MAX_ROWS = 256;

/** Most notes in one message. */
export const MESSAGE_MAX_NOTES = 64;

const word = z.string().min(1).max(64);
const count = z.number().int().nonnegative();

/** Rows travel as tuples, because field names would double their size. */
const rowSchema = z.tuple([
  word, word, word, word, word, z.enum(MemberState), count, z.boolean(), count, count, z.number().nonnegative(),
]);

/** Small fact that parts spread through the membership messages: topic, key and value. */
export const noteSchema = z.tuple([word, z.string().min(1).max(128), z.string().max(128)]);

const rows = z.array(rowSchema).max(MESSAGE_MAX_ROWS);
const notes = z.array(noteSchema).max(MESSAGE_MAX_NOTES);

/** Request and answer of `probe`. */
export const probeSchema = z.strictObject({ from: rowSchema, rows, notes: notes.optional() });

/** Request of `probeIndirect`: a probe that the receiver passes on to `target`. */
export const indirectSchema = z.strictObject({ from: rowSchema, target: word });

/** Answer of `probeIndirect`; `target` is the row that the target gave of itself. */
export const indirectAnswerSchema = z.strictObject({ from: rowSchema, target: rowSchema.nullable() });

/** Request of `exchange`: hashes of all buckets, or rows for the buckets that differ. */
export const exchangeSchema = z.strictObject({
  from: rowSchema, hashes: z.array(z.string().max(8)).max(64), rows, after: z.string().max(64),
});

/** Answer of `exchange`; `differing` lists buckets, `more` tells that rows after the last one are left. */
export const exchangeAnswerSchema = z.strictObject({
  from: rowSchema, rows, differing: z.array(z.number().int().min(0).max(63)).max(64), more: z.boolean(),
});

export type WireRow = z.infer<typeof rowSchema>;
export type Note = z.infer<typeof noteSchema>;
export type ProbeMessage = z.infer<typeof probeSchema>;
export type IndirectMessage = z.infer<typeof indirectSchema>;
export type IndirectAnswer = z.infer<typeof indirectAnswerSchema>;
export type ExchangeMessage = z.infer<typeof exchangeSchema>;
export type ExchangeAnswer = z.infer<typeof exchangeAnswerSchema>;

/** Tuple form of a row. */
export function encodeRow(row: MemberRow): WireRow {
  const { member } = row;
  return [
    member.id, member.incarnation, member.address, member.callerAddress, member.failureDomain,
    row.state, row.counter, member.leaving, row.beat, member.revision, Math.round(member.load * 100) / 100,
  ];
}

/** Row from its tuple form. */
export function decodeRow(wire: WireRow): MemberRow {
  const [
    id, incarnation, address, callerAddress, failureDomain, state, counter, leaving, beat, revision, load,
  ] = wire;
  return {
    member: {
      id, incarnation, address, callerAddress, failureDomain, leaving, revision, load,
    },
    state,
    counter,
    beat,
  };
}

/** Bytes that a value takes in a message, with its separating comma. */
export function messageBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value)) + 1;
}

/** Start time in ms that an incarnation carries; later starts replace earlier ones at the same address. */
export function startOf(incarnation: string): number {
  return Number.parseInt(incarnation.split('-')[0]!, 36) || 0;
}
