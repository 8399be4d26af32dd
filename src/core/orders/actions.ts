import type { EngineStatus, OrderAction } from '../interfaces/index.js';

/** Whether an engine's status shows that an action has taken effect. */
export function isInEffect(action: OrderAction, status: EngineStatus): boolean {
  switch (action.type) {
    case 'role': return status.role === action.role;
    case 'load': return status.models.some(({ model, version }) => model === action.model && version === action.version);
    case 'unload':
      return !status.models.some(({ model, version }) => model === action.model && version === action.version);
    case 'load_adapter':
      return status.models.some(({ model, adapters }) => model === action.model
        && adapters?.includes(action.adapter) === true);
    default: return false;
  }
}

/** Whether an action would interrupt requests that run on the engine, so that the engine must be idle first. */
export function interruptsWork(action: OrderAction, status: EngineStatus): boolean {
  switch (action.type) {
    case 'role': return true;
    case 'load':
    case 'unload': return status.models.some(({ model }) => model === action.model);
    case 'load_adapter': return false;
    default: return true;
  }
}
