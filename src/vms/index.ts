export type {
  FleetVm,
  VmFleetPort,
  VmOrderAnswer,
  VmOrderIssuer,
  VmOrderRefusal,
  VmState,
} from './VmFleetPort.js';
