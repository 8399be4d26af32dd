export type { PlacedCall, PlaceCandidate } from './client.js';
export { chainParts } from './heldparts.js';
export { PlaceExchange } from './exchange.js';
