export type { EndedTargets } from './EndedTargets.js';
export type {
  FleetVm,
  VmFleetPort,
  VmOrderAnswer,
  VmOrderIssuer,
  VmOrderRefusal,
  VmState,
} from './VmFleetPort.js';
