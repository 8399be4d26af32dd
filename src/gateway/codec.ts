import type { IncomingMessage } from 'node:http';
import type { Result } from '../core/result.js';
import type { ForwardingConfiguration } from './configuration.js';
import type { ServerRecord } from './serverregistry.js';
import type { Caller, Credential } from './workspaces.js';

/** Part of a prompt that several requests may share, so that its KV cache can be reused. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a caller states about a generation request; sizes in tokens. */
export interface Generation {
  readonly model: string | null;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Parts of the prompt in order; the last one belongs to the request or its session only. */
  readonly parts: readonly PromptPart[];
}

/** Call of a caller, with the fields that forwarding needs. */
export interface Call {
  /** Request id of this attempt of the caller. */
  readonly id: string | null;
  readonly method: string;
  readonly host: string;
  /** Request target, forwarded unchanged. */
  readonly target: string;
  /** Header names and values, alternating, without connection headers and those that only the gateway may set. */
  readonly headers: readonly string[];
  /** Time in ms for which the caller waits, from the arrival of the call; `null` where it states none. */
  readonly deadlineMs: number | null;
  /** `null` where the call does not generate text. */
  readonly generation: Generation | null;
  /** Id of the last event that the caller received, after which a stream is to be resumed; not among `headers`. */
  readonly lastEventId: string | null;
  /** Request id of the attempt that brought the first event of the stream that the caller takes up, if stated. */
  readonly resumes: string | null;
  /** Key that the call presents; not among `headers`. */
  readonly credential: Credential;
  /** `Authorization` headers as received, alternating names and values; only for deployments that check no keys. */
  readonly authorization: readonly string[];
}

/** Why the request of a caller is invalid. */
export interface CallError {
  readonly code: 'invalid_call';
  readonly message: string;
}

/** Reference to the KV cache of a prefilled prompt at an engine. */
export interface PrefillHandle {
  /** IP address and port of the engine that holds the cache. */
  readonly address: string;
  readonly id: string;
}

/** What is added to a call when it is sent to a backend server. */
export interface SendPlan {
  readonly server: ServerRecord;
  /** Time in ms after which the backend server stops working on the call. */
  readonly deadlineMs: number;
  /** Priority at an engine, from 0 (first) to 9 (last); `null` for plain services. */
  readonly priority: number | null;
  readonly caller: Caller;
  /** What the server runs: the whole call, only its prefill, or the rest after a prefill at another engine. */
  readonly work:
    | { readonly type: 'whole' }
    | { readonly type: 'prefill' }
    | { readonly type: 'decode'; readonly handle: PrefillHandle };
}

/** Whether a backend server executed a call, according to the head of its answer. */
export enum Execution {
  /** The server states that it did not execute the call. */
  NotExecuted = 'not_executed',
  Executed = 'executed',
}

/** Head of a backend server's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly execution: Execution;
  /** False where the answer belongs to another call. */
  readonly matchesCall: boolean;
  /** Whether the answer has the id of its call. */
  readonly namesCall: boolean;
  /** Whether the answer has the backend server's signature, without which a success must not be passed on. */
  readonly signed: boolean;
  /** Whether the backend server says that it leaves. */
  readonly serverLeaves: boolean;
  /** Time in ms for which the backend server, with a 503, wants no request of this process; `null` if not stated. */
  readonly pauseMs: number | null;
  /** Whether the body has no length and ends when the connection closes. */
  readonly endsWithConnection: boolean;
  /** Header names and values, alternating, as passed on to the caller. */
  readonly headers: readonly string[];
}

/** Order to an engine to change its role, under a fencing token. */
export interface RoleOrder {
  readonly holder: string;
  readonly fencingToken: number;
  /** Number of orders that the engine has accepted so far; it rejects the order if the number differs. */
  readonly expectedSequence: number;
  readonly role: 'prefill' | 'decode';
}

/** Status report of an engine. */
export interface EngineReport {
  readonly role: string;
  /** Whether the engine is executing an order. */
  readonly changing: boolean;
  /** Number of orders that the engine has accepted since it started. */
  readonly sequence: number;
  /** Number of requests that wait at the engine. */
  readonly waiting: number;
  /** Number of requests that the engine runs. */
  readonly running: number;
}

/** Control request of a gateway to a backend server, not made for a caller. */
export interface ControlRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  /** Header names and values, alternating. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
}

/** Encodes and decodes calls, answers and store records in the wire format of one platform. */
export interface Codec {
  /** Key prefix in the store of the configuration. */
  readonly configurationPrefix: string;
  /** Key prefix in the store of the server records. */
  readonly serverPrefix: string;
  readCall(req: IncomingMessage): Result<Call, CallError>;
  /** Headers of one send, as alternating names and values. */
  sendHeaders(call: Call, plan: SendPlan): string[];
  readHead(call: Call, status: number, headers: Readonly<Record<string, string | string[] | undefined>>): AnswerHead;
  /** Whether the head of the answer to a control request says that its backend server leaves. */
  saysServerLeaves(headers: Readonly<Record<string, string | string[] | undefined>>): boolean;
  /** Pause in ms that the head of the answer to a control request asks for, or `null`. */
  controlPauseMs(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): number | null;
  /** Handle in the answer to a prefill, or `null` where the body has none. */
  readHandle(server: ServerRecord, body: Buffer): PrefillHandle | null;
  /** Request that frees the KV cache of a handle. */
  freeRequest(handle: PrefillHandle): ControlRequest;
  orderRequest(server: ServerRecord, order: RoleOrder): ControlRequest;
  reportRequest(): ControlRequest;
  readReport(body: Buffer): EngineReport | null;
  /** `null` for a key that contains no configuration; the error says what is invalid. */
  readConfiguration(key: string, value: string): Result<ForwardingConfiguration, string> | null;
  /** Server in a record; the error says what is invalid. */
  readServer(key: string, value: string): Result<ServerRecord, string>;
  /** Id of the backend server to which a key belongs. */
  serverId(key: string): string;
  /** Body of the directory's answer to a caller, which may cache it for `ttlMs`. */
  addressBody(addresses: readonly string[], ttlMs: number): string;
}
