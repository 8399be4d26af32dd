import type { ServerRecord } from '../../src/gateway/serverregistry.js';

/** Record of a backend server of the kind plain service that accepts calls; `changes` replace fields. */
export function createServerRecord(id: string, changes: Partial<ServerRecord> = {}): ServerRecord {
  return {
    id,
    bornAt: 1,
    sequence: 1,
    service: 'ledger',
    address: '127.0.0.1:1',
    failureDomain: 'regina',
    slots: 6,
    draining: false,
    reclaimable: false,
    softwareVersion: 'v1',
    role: null,
    models: [],
    ...changes,
  };
}
