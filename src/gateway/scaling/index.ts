export type { ScalingLimits } from './plan.js';
export { CapacityScaler } from './scaler.js';
