export type {
  BudgetVerdict,
  CapacityDecision,
  PlacementDecision,
  WaveDecision,
} from './decisions.js';
