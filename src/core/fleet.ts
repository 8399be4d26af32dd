import { z } from 'zod';

/** Whether an engine refuses orders that carry an old fencing number. */
export enum Fencing {
  Enforced = 'enforced',
  Ignored = 'ignored',
}

/** Operator's intent for a backend server. */
export enum ServerState {
  Active = 'active',
  Draining = 'draining',
  Withdrawn = 'withdrawn',
}

/** Role that the fleet file asks for; `auto` leaves the choice to the planner. */
export enum DesiredRole {
  Prefill = 'prefill',
  Decode = 'decode',
  Mixed = 'mixed',
  Auto = 'auto',
}

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lowercase letters, digits and hyphens, at most 63');
const address = z.string().regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'IP address and port, for example 10.0.0.7:8100');

/** One version of one model. */
export const modelSchema = z.strictObject({
  name,
  version: z.string().min(1),
  adapters: z.array(name).default([]),
});

/** One model engine of the fixed fleet. */
export const engineSchema = z.strictObject({
  name,
  address,
  host: name,
  failureDomain: name,
  models: z.array(name).min(1),
  role: z.enum(DesiredRole).default(DesiredRole.Auto),
  fencing: z.enum(Fencing),
  state: z.enum(ServerState).default(ServerState.Active),
});

/** One plain service and which of its operations may be repeated. */
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
  weight: z.number().positive().default(1),
});

/** Whole declarative fleet file. */
export const fleetSchema = z.strictObject({
  name,
  models: z.array(modelSchema),
  engines: z.array(engineSchema),
  services: z.array(serviceSchema),
  servers: z.array(serverSchema),
  workspaces: z.array(workspaceSchema),
});

export type Model = z.infer<typeof modelSchema>;
export type EngineSpec = z.infer<typeof engineSchema>;
export type ServiceSpec = z.infer<typeof serviceSchema>;
export type ServerSpec = z.infer<typeof serverSchema>;
export type Workspace = z.infer<typeof workspaceSchema>;
export type Fleet = z.infer<typeof fleetSchema>;
