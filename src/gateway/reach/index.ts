export { CutOffGateways } from './peers.js';
export { ServerReach } from './reach.js';
export type { ReachableServer } from './evidence.js';
