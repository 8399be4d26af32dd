export * from './batching.js';
export * from './bookings.js';
export * from './calls.js';
