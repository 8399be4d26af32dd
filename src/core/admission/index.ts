export * from './dispatch.js';
export * from './policydispatcher.js';
