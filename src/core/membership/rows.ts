import { z } from 'zod';
import type { Member } from './members.js';

/** State of a member. At the same counter, a state listed later here takes precedence over an earlier one. */
export enum MemberState {
  Alive = 'alive',
  Suspect = 'suspect',
  Dead = 'dead',
}

/** Member with its state and the version numbers that order updates about it. */
export interface MemberRow {
  readonly member: Member;
  readonly state: MemberState;
  /** Incremented only by the member itself, to refute a suspicion or to change its leaving flag. */
  readonly counter: number;
  /** Incremented by the member with each change of load or revision. */
  readonly factsVersion: number;
}

/** Maximum number of rows in one message; larger messages are rejected. */
export const MESSAGE_MAX_ROWS = 256;

/** Maximum number of announcements in one message. */
export const MESSAGE_MAX_ANNOUNCEMENTS = 64;

const shortText = z.string().min(1).max(64);
const count = z.number().int().nonnegative();

/** Rows are sent as tuples, because field names would double their size. */
const rowSchema = z.tuple([
  shortText, shortText, shortText, shortText, shortText,
  z.enum(MemberState), count, z.boolean(), count, count, z.number().nonnegative(),
]);

/** Announcement that a component gossips in the membership messages: topic, key and value. */
export const announcementSchema = z.tuple([shortText, z.string().min(1).max(128), z.string().max(128)]);

const rows = z.array(rowSchema).max(MESSAGE_MAX_ROWS);
const notes = z.array(announcementSchema).max(MESSAGE_MAX_ANNOUNCEMENTS);

/** Request and response of `probe`. */
export const probeSchema = z.strictObject({ from: rowSchema, rows, notes: notes.optional() });

/** Request of `probeIndirect`: asks the receiver to probe the address `target`. */
export const indirectProbeSchema = z.strictObject({ from: rowSchema, target: shortText });

/** Response of `probeIndirect`; `target` is the row that the target answered with, `null` without an answer. */
export const indirectProbeAnswerSchema = z.strictObject({ from: rowSchema, target: rowSchema.nullable() });

/**
 * Request of `exchange`: hashes of all buckets, and a page of rows from the buckets known to differ. `after` is the
 * incarnation after which the response continues.
 */
export const exchangeSchema = z.strictObject({
  from: rowSchema, hashes: z.array(z.string().max(8)).max(64), rows, after: z.string().max(64),
});

/** Response of `exchange`: a page of rows from the `differing` buckets; `more` is true when further rows are left. */
export const exchangeAnswerSchema = z.strictObject({
  from: rowSchema, rows, differing: z.array(z.number().int().min(0).max(63)).max(64), more: z.boolean(),
});

/** Row in the tuple form in which it is sent. */
export type WireRow = z.infer<typeof rowSchema>;
/** Announcement in the tuple form in which it is sent. */
export type Announcement = z.infer<typeof announcementSchema>;
/** See {@link probeSchema}. */
export type ProbeMessage = z.infer<typeof probeSchema>;
/** See {@link indirectProbeSchema}. */
export type IndirectProbeMessage = z.infer<typeof indirectProbeSchema>;
/** See {@link indirectProbeAnswerSchema}. */
export type IndirectProbeAnswer = z.infer<typeof indirectProbeAnswerSchema>;
/** See {@link exchangeSchema}. */
export type ExchangeMessage = z.infer<typeof exchangeSchema>;
/** See {@link exchangeAnswerSchema}. */
export type ExchangeAnswer = z.infer<typeof exchangeAnswerSchema>;

/** Encodes a row as a tuple. */
export function encodeRow(row: MemberRow): WireRow {
  const { member } = row;
  return [
    member.id, member.incarnation, member.address, member.callerAddress, member.failureDomain,
    row.state, row.counter, member.leaving, row.factsVersion, member.revision, Math.round(member.load * 100) / 100,
  ];
}

/** Decodes a row from its tuple. */
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
    factsVersion: beat,
  };
}

/** Size of a value in a JSON message in bytes, including the separating comma. */
export function messageBytes(value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value)) + 1;
}

/** Start time in ms, decoded from an incarnation; later starts replace earlier ones at the same address. */
export function startTimeOf(incarnation: string): number {
  return Number.parseInt(incarnation.split('-')[0]!, 36) || 0;
}
