export * from './orders.js';
export * from './planning.js';
