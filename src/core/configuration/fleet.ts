import { z } from 'zod';
import { KEY_VALUE_MAX_BYTES } from '../interfaces/index.js';
import { parseIni, safeParseSection } from '../ini.js';
import type { IniSection } from '../ini.js';
import { IssuesError } from '../issues.js';
import type { Issue } from '../issues.js';
import { fail, ok } from '../result.js';
import type { Result } from '../result.js';

/** Whether an engine refuses orders that carry an outdated fencing token. */
export enum Fencing {
  Enforced = 'enforced',
  Ignored = 'ignored',
}

/** State that the operator wants for a backend server. */
export enum ServerState {
  Active = 'active',
  Draining = 'draining',
  Withdrawn = 'withdrawn',
}

/** Role of an engine that the fleet file asks for; `auto` leaves the choice to the planner. */
export enum DesiredRole {
  Prefill = 'prefill',
  Decode = 'decode',
  Mixed = 'mixed',
  Auto = 'auto',
}

/** Maximum size of a fleet file in bytes of UTF-8. */
export const FLEET_MAX_BYTES = KEY_VALUE_MAX_BYTES;

const NAME_EXPECTED = 'lowercase letters, digits and hyphens, at most 63';
const ADDRESS_EXPECTED = 'IP address and port, for example 10.0.0.7:8100';

/** Name of an entry, host, failure domain, engine, service, model or workspace. */
export const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, NAME_EXPECTED).describe(NAME_EXPECTED);

function isAddress(text: string): boolean {
  const match = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/.exec(text);
  if (match === null) return false;
  const [port, ...octets] = match.slice(1).map(Number).reverse();
  return octets.every((octet) => octet <= 255) && port !== undefined && port >= 1 && port <= 65_535;
}

/** IP address and port. */
export const addressSchema = z.string().refine(isAddress, ADDRESS_EXPECTED).describe(ADDRESS_EXPECTED);

/** With larger ratios between workspaces, those with a low weight would get no service for whole seconds. */
const MAX_WEIGHT = 1_000;

const name = nameSchema;
const address = addressSchema;

/** One version of one model. */
export const modelSchema = z.strictObject({
  name,
  version: z.string().min(1, 'a version').describe('a version'),
  adapters: z.array(name).default([]),
});

/** One model engine; the fleet has a fixed set of them. */
export const engineSchema = z.strictObject({
  name,
  address,
  host: name,
  failureDomain: name,
  models: z.array(name).min(1).describe('names of models, separated by commas'),
  role: z.enum(DesiredRole).default(DesiredRole.Auto),
  fencing: z.enum(Fencing).describe('enforced | ignored'),
  state: z.enum(ServerState).default(ServerState.Active),
});

/** One plain service and which of its operations may be retried. */
export const serviceSchema = z.strictObject({
  name,
  idempotent: z.array(name).default([]),
  nonIdempotent: z.array(name).default([]),
});

/** One backend server of a plain service. */
export const serverSchema = z.strictObject({
  name,
  service: name,
  address,
  host: name,
  failureDomain: name,
  state: z.enum(ServerState).default(ServerState.Active),
});

/** One workspace and its share of the fleet. */
export const workspaceSchema = z.strictObject({
  name,
  weight: z.coerce.number('a number above 0').positive('a number above 0').max(MAX_WEIGHT, `at most ${MAX_WEIGHT}`).default(1),
});

/** The whole fleet file. */
export const fleetSchema = z.strictObject({
  name,
  models: z.array(modelSchema),
  engines: z.array(engineSchema),
  services: z.array(serviceSchema),
  servers: z.array(serverSchema),
  workspaces: z.array(workspaceSchema),
});

/** Parsed section of a model. */
export type Model = z.infer<typeof modelSchema>;
/** Parsed section of a model engine. */
export type EngineSpec = z.infer<typeof engineSchema>;
/** Parsed section of a plain service. */
export type ServiceSpec = z.infer<typeof serviceSchema>;
/** Parsed section of a backend server of a plain service. */
export type ServerSpec = z.infer<typeof serverSchema>;
/** Parsed section of a workspace. */
export type Workspace = z.infer<typeof workspaceSchema>;
/** Parsed fleet file. */
export type Fleet = z.infer<typeof fleetSchema>;

const headerSchema = fleetSchema.pick({ name: true });

const SECTION_KINDS = ['model', 'engine', 'service', 'server', 'workspace'] as const;
type SectionKind = typeof SECTION_KINDS[number];

const SECTIONS_ACCEPTED = ['fleet', ...SECTION_KINDS.map((kind) => `${kind}.NAME`)];
const LIST_KEYS = ['adapters', 'models', 'idempotent', 'non-idempotent'];

const SCHEMAS = {
  model: modelSchema, engine: engineSchema, service: serviceSchema, server: serverSchema, workspace: workspaceSchema,
} as const;

/** Reports references to undefined sections, addresses used twice and operations listed as both idempotent and not. */
function checkReferences(fleet: Fleet): Issue[] {
  const issues: Issue[] = [];
  const models = fleet.models.map((model) => model.name);
  const services = fleet.services.map((service) => service.name);
  const addressOwners = new Map<string, string>();
  const checkAddress = (section: string, found: string): void => {
    const owner = addressOwners.get(found);
    if (owner === undefined) addressOwners.set(found, section);
    else {
      issues.push({
        code: 'invalid_value', path: [section, 'address'], found, expected: `an address that [${owner}] does not have`,
      });
    }
  };
  for (const engine of fleet.engines) {
    const section = `engine.${engine.name}`;
    checkAddress(section, engine.address);
    for (const found of engine.models.filter((model) => !models.includes(model))) {
      issues.push({
        code: 'unknown_reference', path: [section, 'models'], found, accepted: models,
      });
    }
  }
  for (const server of fleet.servers) {
    const section = `server.${server.name}`;
    checkAddress(section, server.address);
    if (!services.includes(server.service)) {
      issues.push({
        code: 'unknown_reference', path: [section, 'service'], found: server.service, accepted: services,
      });
    }
  }
  for (const service of fleet.services) {
    for (const found of service.nonIdempotent.filter((operation) => service.idempotent.includes(operation))) {
      issues.push({
        code: 'invalid_value',
        path: [`service.${service.name}`, 'non-idempotent'],
        found,
        expected: 'operations that are not in idempotent',
      });
    }
  }
  return issues;
}

/** Parses and validates a fleet file; on failure, the result contains all issues. */
export function safeParseFleet(text: string, file?: string): Result<Fleet, readonly Issue[]> {
  const location = file === undefined ? {} : { file };
  const bytes = Buffer.byteLength(text);
  if (bytes > FLEET_MAX_BYTES) {
    return fail([{
      code: 'too_large', path: [], ...location, bytes, limitBytes: FLEET_MAX_BYTES,
    }]);
  }
  const document = parseIni(text, file);
  const issues: Issue[] = [...document.issues];
  const dataOf = <T>(result: Result<T, readonly Issue[]>): T | undefined => {
    if (result.success) return result.data;
    issues.push(...result.error);
    return undefined;
  };
  const items = {
    model: [] as Model[],
    engine: [] as EngineSpec[],
    service: [] as ServiceSpec[],
    server: [] as ServerSpec[],
    workspace: [] as Workspace[],
  };
  const parseSection = <K extends SectionKind>(kind: K, itemName: string, section: IniSection): void => {
    const item = dataOf(safeParseSection(section.name, section, SCHEMAS[kind] as z.ZodObject, {
      ...location, lists: LIST_KEYS, fields: { name: itemName },
    }));
    if (item !== undefined) (items[kind] as unknown[]).push(item);
  };
  for (const section of document.sections.values()) {
    const dot = section.name.indexOf('.');
    const kind = SECTION_KINDS.find((candidate) => candidate === section.name.slice(0, Math.max(dot, 0)));
    if (kind !== undefined) parseSection(kind, section.name.slice(dot + 1), section);
    else if (section.name !== 'fleet') {
      issues.push({
        code: 'unknown_key', path: [section.name], ...location, line: section.line, accepted: SECTIONS_ACCEPTED,
      });
    }
  }
  const header = dataOf(safeParseSection('fleet', document.sections.get('fleet'), headerSchema, location));
  const fleet: Fleet = {
    name: header?.name ?? '',
    models: items.model,
    engines: items.engine,
    services: items.service,
    servers: items.server,
    workspaces: items.workspace,
  };
  // A reference to a section that is itself invalid would be reported as undefined, so references are checked last.
  if (issues.length === 0) issues.push(...checkReferences(fleet).map((issue) => ({ ...issue, ...location })));
  return issues.length === 0 ? ok(fleet) : fail(issues);
}

/** Parses and validates a fleet file; throws {@link IssuesError} with all issues. */
export function parseFleet(text: string, file?: string): Fleet {
  const result = safeParseFleet(text, file);
  if (!result.success) throw new IssuesError(result.error);
  return result.data;
}
