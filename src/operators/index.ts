export type {
  InstanceView,
  OperatorPort,
  PoolView,
  PublicationView,
  SettingsView,
  VmView,
  WaveView,
} from './OperatorPort.js';
