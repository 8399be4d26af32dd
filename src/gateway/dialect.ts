import type { IncomingMessage } from 'node:http';
import type { Result } from '../core/result.js';
import type { ForwardingConfiguration } from './configuration.js';
import type { ServerRecord } from './servers.js';

/** Part of a prompt that requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a caller says of the text to generate; sizes in tokens. */
export interface Generation {
  readonly model: string | null;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Parts of the prompt in order; the last one belongs to the request or its session. */
  readonly parts: readonly PromptPart[];
}

/** A caller's call as far as forwarding looks into it. */
export interface Call {
  /** Identity of this attempt of the caller. */
  readonly id: string | null;
  readonly method: string;
  readonly host: string;
  /** Request target, forwarded unchanged. */
  readonly target: string;
  /** Names and values in turn, without the headers of the connection and those that only this system may set. */
  readonly headers: readonly string[];
  /** Time in ms that the caller waits, from the arrival of the call. */
  readonly deadlineMs: number | null;
  readonly generation: Generation | null;
  /** Id of the last event that the caller has, where a stream goes on after it; not among `headers`. */
  readonly lastEventId: string | null;
}

/** Why a call can't be read. */
export interface CallError {
  readonly code: 'invalid_call';
  readonly message: string;
}

/** KV cache of a prefilled prompt at an engine. */
export interface PrefillHandle {
  /** IP address and port of the engine that holds the cache. */
  readonly address: string;
  readonly id: string;
}

/** What one send to a backend server adds to the call. */
export interface SendPlan {
  readonly server: ServerRecord;
  /** Time in ms after which the backend server stops work. */
  readonly deadlineMs: number;
  /** Urgency from 0 (first) to 9 (last) at an engine; `null` for plain services. */
  readonly priority: number | null;
  /** What an engine does: the whole call, only its prefill, or the rest after a prefill elsewhere. */
  readonly work:
    | { readonly type: 'whole' }
    | { readonly type: 'prefill' }
    | { readonly type: 'decode'; readonly handle: PrefillHandle };
}

/** Whether a backend server ran a call, judged by the head of its answer. */
export enum Execution {
  /** The server states that the call did not run. */
  NotExecuted = 'not_executed',
  Executed = 'executed',
}

/** Head of a backend server's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly execution: Execution;
  /** False where the answer is not the answer to this call. */
  readonly matches: boolean;
  /** Whether the backend server vouches for the answer; only then a success may be passed on. */
  readonly signed: boolean;
  /** Whether the body has no length and ends with its connection. */
  readonly endsWithConnection: boolean;
  /** Names and values in turn, as passed on to the caller. */
  readonly headers: readonly string[];
}

/** Change of the role of an engine, ordered under a fencing token. */
export interface RoleOrder {
  readonly holder: string;
  readonly fencingToken: number;
  /** Number of orders that the engine has accepted so far; another number makes it reject this one. */
  readonly expectedSequence: number;
  readonly role: 'prefill' | 'decode';
}

/** What an engine reports of itself. */
export interface EngineReport {
  readonly role: string;
  /** Whether an order is being carried out. */
  readonly changing: boolean;
  /** Number of orders accepted since its start. */
  readonly sequence: number;
  readonly waiting: number;
  readonly running: number;
}

/** Request of this system itself to a backend server. */
export interface ControlRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer | null;
}

/** How calls, answers and records are written on the wire; one implementation for each platform. */
export interface Dialect {
  /** Key prefixes of the store under which records are found. */
  readonly configurationPrefix: string;
  readonly serverPrefix: string;
  readCall(req: IncomingMessage): Result<Call, CallError>;
  /** Headers of one send, as names and values in turn. */
  sendHeaders(call: Call, plan: SendPlan): string[];
  readHead(call: Call, status: number, headers: Readonly<Record<string, string | string[] | undefined>>): AnswerHead;
  readHandle(server: ServerRecord, body: Buffer): PrefillHandle | null;
  /** Frees the KV cache behind a handle. */
  freeRequest(handle: PrefillHandle): ControlRequest;
  orderRequest(server: ServerRecord, order: RoleOrder): ControlRequest;
  reportRequest(): ControlRequest;
  readReport(body: Buffer): EngineReport | null;
  /** `null` for a key that holds no configuration. */
  readConfiguration(key: string, value: string): Result<ForwardingConfiguration, string> | null;
  readServer(key: string, value: string): Result<ServerRecord, string>;
  /** Id of the backend server behind a key. */
  serverId(key: string): string;
  /** Body of an answer to a caller that asks which address to use. */
  addressBody(addresses: readonly string[], keepMs: number): string;
}
