export * from './directory.js';
export * from './leaving.js';
export * from './placement.js';
export * from './quick.js';
export * from './servers.js';
export * from './streams.js';
