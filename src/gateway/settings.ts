import { z } from 'zod';
import { addressSchema } from '../core/configuration/index.js';
import { safeParseSections } from '../core/ini.js';
import type { Issue } from '../core/issues.js';
import type { Result } from '../core/result.js';
import {
  countSchema, durationSchema, numberSchema, sizeSchema,
} from '../core/units.js';

const labelSchema = z.string().min(1, 'a name').max(200);

/**
 * Setting whose value may be empty, or only a unit, and then counts as not given: the platform inserts nothing where it
 * has no value.
 */
function whereGiven<Schema extends z.ZodType>(schema: Schema) {
  const isEmpty = (text: unknown): boolean => typeof text === 'string' && /^[A-Za-z]*$/.test(text.trim());
  return z.unknown().optional().transform((text) => (isEmpty(text) ? undefined : text)).pipe(schema);
}

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
    /** UDP datagrams between gateways; all gateways use the same port. */
    exchange: addressSchema,
  }),
  machine: z.strictObject({
    /** Memory in bytes that the process may use. */
    memory: whereGiven(sizeSchema('64 MB', '999999 MB').prefault('350 MB')),
    /** Number of file descriptors that the process may open. */
    descriptors: whereGiven(countSchema(256, 10_000_000).prefault('4096')),
  }),
  peers: z.strictObject({
    /** Peer addresses of the gateways that a gateway contacts when it starts. */
    seeds: z.array(addressSchema).default([]),
    /** Name of the deployment; all its gateways use the same. It separates two deployments that share a network. */
    group: labelSchema.default('gateways'),
  }),
  store: z.strictObject({
    address: addressSchema,
  }),
  directory: z.strictObject({
    /** TTL in ms of an answer to callers. */
    keep: durationSchema('100 ms', '10 min').prefault('2 s'),
  }),
  drain: z.strictObject({
    /** Time in ms after which a stopping process is killed. */
    grace: durationSchema('1 s', '1 h').prefault('8 s'),
  }),
  retries: z.strictObject({
    /** Largest number of retries to a service per 1,000 calls, of all gateways together. */
    perThousand: countSchema(0, 1_000).prefault('100'),
    /** Number of retries beyond that share that are allowed at once, of all gateways together. */
    burst: numberSchema(0, 1_000_000).prefault('20'),
  }),
  authority: z.strictObject({
    lease: durationSchema('500 ms', '1 min').prefault('3 s'),
  }),
  provider: z.strictObject({
    /** Interface of the provider of backend servers, for reports of usage and orders of servers; none by default. */
    address: whereGiven(addressSchema.optional()),
  }),
  usage: z.strictObject({
    /** Length in ms of the windows for which usage is reported; without it, none is. */
    window: whereGiven(durationSchema('100 ms', '24 h').optional()),
    /** Time in ms after the end of a window at which its report is due. */
    due: whereGiven(durationSchema('100 ms', '1 h').prefault('10 s')),
  }),
  workspaces: z.strictObject({
    /** Age in ms of the configuration above which calls that need a key are refused; without it, none are. */
    keyAge: whereGiven(durationSchema('100 ms', '1 h').optional()),
    /** Whether waiting calls get slots by the shares of their workspaces and by urgency. */
    shares: z.stringbool({ truthy: ['true'], falsy: ['false'] }).prefault('false'),
  }),
  places: z.strictObject({
    /** Number of gateways from which on one of them gives out the places of each engine; without it, none ever does. */
    ownedFrom: whereGiven(countSchema(2, 1_000_000).optional()),
  }),
  log: z.strictObject({
    /** Largest number of log lines per second; further ones are dropped and counted. */
    linesPerSecond: countSchema(1, 100_000).prefault('300'),
  }),
} as const;

/** Keys whose values are lists. */
const LISTS = ['seeds'];

/** Settings of one gateway; durations in ms. */
export type GatewaySettings = { readonly [Name in keyof typeof SECTIONS]: z.output<typeof SECTIONS[Name]> };

/** Parses and validates the settings of a gateway; the error contains every issue. */
export function safeParseGatewaySettings(text: string, file: string): Result<GatewaySettings, readonly Issue[]> {
  return safeParseSections(SECTIONS, text, file, LISTS);
}
