import { z } from 'zod';
import { addressSchema } from '../core/configuration/index.js';
import { safeParseSections } from '../core/ini.js';
import type { Issue } from '../core/issues.js';
import type { Result } from '../core/result.js';
import { countSchema, durationSchema } from '../core/units.js';

const labelSchema = z.string().min(1, 'a name').max(200);

const SECTIONS = {
  gateway: z.strictObject({
    name: labelSchema,
    failureDomain: labelSchema,
  }),
  listen: z.strictObject({
    callers: addressSchema,
    readiness: addressSchema,
    peers: addressSchema,
    directory: addressSchema,
    /** Metrics and the dump. */
    metrics: addressSchema,
    /** Datagrams between gateways; the port is the same at all of them. */
    exchange: addressSchema,
  }),
  peers: z.strictObject({
    /** Peer addresses of gateways that a starting one asks first. */
    seeds: z.array(addressSchema).default([]),
    /** Gateways of one deployment have the same; it keeps two deployments apart that share a network. */
    group: labelSchema.default('gateways'),
  }),
  store: z.strictObject({
    address: addressSchema,
  }),
  directory: z.strictObject({
    /** How long callers may keep an answer. */
    keep: durationSchema('100 ms', '10 min').prefault('2 s'),
  }),
  drain: z.strictObject({
    /** Time after which a stopping process is killed. */
    grace: durationSchema('1 s', '1 h').prefault('8 s'),
  }),
  retries: z.strictObject({
    /** Second sends to a service per 1,000 calls, all gateways together. */
    perThousand: countSchema(0, 1_000).prefault('100'),
    /** Second sends beyond that share, all gateways together. */
    burst: countSchema(0, 10_000).prefault('20'),
  }),
  authority: z.strictObject({
    lease: durationSchema('500 ms', '1 min').prefault('3 s'),
  }),
  log: z.strictObject({
    /** Log lines a second; further ones are counted and dropped. */
    linesPerSecond: countSchema(1, 100_000).prefault('300'),
  }),
} as const;

const LISTS = ['seeds'];

/** Settings of one gateway; durations in ms. */
export type GatewaySettings = { readonly [Name in keyof typeof SECTIONS]: z.output<typeof SECTIONS[Name]> };

/** Parses the settings of a gateway and checks all of them; the error holds every issue. */
export function safeParseGatewaySettings(text: string, file: string): Result<GatewaySettings, readonly Issue[]> {
  return safeParseSections(SECTIONS, text, file, LISTS);
}
