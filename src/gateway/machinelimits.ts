import type { AnswerMemoryLimits } from './answermemory.js';

/** Memory in bytes and file descriptors that the machine gives the process. */
export interface Machine {
  readonly memory: number;
  readonly descriptors: number;
}

/** What the listeners of one process may use; sizes in bytes. */
export interface MachineLimits {
  /** Memory of the bodies of callers, from their first byte until their call has ended. */
  readonly bodyMemory: number;
  /** Memory of the messages of other gateways that are being received. */
  readonly peerMemory: number;
  /** Memory for answers that callers read slowly. */
  readonly answerMemory: AnswerMemoryLimits;
  /** Calls that are served at once. */
  readonly calls: number;
  /** Open connections of each listener. */
  readonly connections: {
    readonly callers: number;
    readonly peers: number;
    readonly directory: number;
    readonly readiness: number;
    readonly metrics: number;
  };
}

/** Descriptors for files and for connections to the store and to few backend servers. */
const RESERVED_DESCRIPTORS = 200;

const BODY_MEMORY_SHARE = 1 / 16;

const PEER_MEMORY_SHARE = 1 / 16;

const ANSWER_MEMORY_SHARE = 1 / 16;

/** Parts of that memory that one answer and one workspace may take. */
const ANSWER_SHARES = { answer: 1 / 16, workspace: 1 / 2 };

/** Memory in bytes that a call takes beside its body, with its connections and timers. */
const CALL_BYTES = 65_536;

const CALLS_MEMORY_SHARE = 1 / 3;

/** Shares of the descriptors by listener; connections to backend servers and other gateways take the rest. */
const CONNECTION_SHARES = {
  callers: 0.4, peers: 0.25, directory: 0.06, readiness: 0.02, metrics: 0.02,
} as const;

/** Derives the limits of a process from its machine, so that clients can exhaust neither memory nor descriptors. */
export function machineLimits({ memory, descriptors }: Machine): MachineLimits {
  const usable = Math.max(descriptors - RESERVED_DESCRIPTORS, descriptors / 4);
  const connections = (share: number): number => Math.max(4, Math.floor(usable * share));
  return {
    bodyMemory: Math.floor(memory * BODY_MEMORY_SHARE),
    peerMemory: Math.floor(memory * PEER_MEMORY_SHARE),
    answerMemory: {
      total: Math.floor(memory * ANSWER_MEMORY_SHARE),
      perAnswer: Math.floor(memory * ANSWER_MEMORY_SHARE * ANSWER_SHARES.answer),
      perWorkspace: Math.floor(memory * ANSWER_MEMORY_SHARE * ANSWER_SHARES.workspace),
    },
    calls: Math.floor((memory * CALLS_MEMORY_SHARE) / CALL_BYTES),
    connections: {
      callers: connections(CONNECTION_SHARES.callers),
      peers: connections(CONNECTION_SHARES.peers),
      directory: connections(CONNECTION_SHARES.directory),
      readiness: connections(CONNECTION_SHARES.readiness),
      metrics: connections(CONNECTION_SHARES.metrics),
    },
  };
}
