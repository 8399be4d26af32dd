export * from './engine.js';
export * from './keyvalue.js';
export * from './observability.js';
export * from './peers.js';
export * from './platform.js';
export * from './runtime.js';
export * from './service.js';
