export {
  attributeCrash,
  type CrashAttribution,
  type CrashEvidence,
  type CrashedRun,
  isStableRun,
  STABLE_AFTER_MS,
} from './attributeCrash.js';
export { isSuspect, listSuspects, type PlacedSuspect } from './listSuspects.js';
export { type Admission, admitJob, type AdmitJobInput, type RefusedAdmission } from './admitJob.js';
export { alignSubmissions } from './alignSubmissions.js';
export { checkBudget, type CheckBudgetOptions } from './checkBudget.js';
export type {
  BudgetVerdict,
  CapacityDecision,
  PlacementDecision,
  RunVerdict,
  WaveDecision,
} from './decisions.js';
export { countWholeVms, type CountWholeVmsInput } from './countWholeVms.js';
export { estimateNeededCpu, type NeededCpu, type NeededCpuInput } from './estimateNeededCpu.js';
export { hasLessCapacity } from './hasLessCapacity.js';
export { getFailureDomain } from './getFailureDomain.js';
export { type JobSize, estimateJobSize } from './estimateJobSize.js';
export { placeQueuedJobs, type PlaceQueuedJobsOptions } from './placeQueuedJobs.js';
export { planCapacity, type PlanCapacityOptions } from './planCapacity.js';
export { planWaveSteps, type PlanWaveStepsOptions } from './planWaveSteps.js';
export { recordRun, type RecordRunOptions } from './recordRun.js';
export { isQuarantined } from './vmStates.js';
export { summariseWaves, type WaveProgress } from './WaveProgress.js';
export { PoolPressure, type PoolReading } from './PoolPressure.js';
export { PoolBacklog, type PoolBacklogOptions, type WorkAhead } from './PoolBacklog.js';
export { ArrivalRate } from './ArrivalRate.js';
export { orderJobs, type OrderJobsOptions } from './orderJobs.js';
export {
  ALL_MECHANISMS,
  type Mechanism,
  MECHANISMS,
  type Mechanisms,
  disableMechanisms,
} from './mechanisms.js';
export { type CountedEnd, FailureShares } from './FailureShares.js';
export { PeerRunTimes } from './PeerRunTimes.js';
export { type ExpectedRest, type LateRun, planRestart } from './planRestart.js';
export { type TargetPace } from './estimateTargetPace.js';
export { RunPaces, type RunSpan, type TrackedRun } from './RunPaces.js';
export { type ObservedPace, TargetPaces } from './TargetPaces.js';
export { type TargetIntake, TargetVerdicts } from './TargetVerdicts.js';
export { mayRunProbe } from './mayRunProbe.js';
export { type MeasuredRun, RunTimes } from './RunTimes.js';
export { listAllocations } from './listAllocations.js';
export { listReadyTasks, type ReadyTasks } from './listReadyTasks.js';
export {
  planTaskPreemptions,
  type PlanTaskPreemptionsInput,
  type PreemptibleRun,
  type TaskPreemption,
} from './planTaskPreemptions.js';
export {
  explainUnplaced,
  type ExplainUnplacedInput,
  UNPLACED_REASONS,
  type UnplacedExplanation,
  type UnplacedReason,
  type UnplacedTasks,
} from './explainUnplaced.js';
export { placeTasks, type PlaceTasksInput, type TaskPlacement } from './placeTasks.js';
export {
  exceedsCapacity,
  getAllocatedResources,
  getStepKey,
  type PlacementTarget,
  TargetCapacity,
} from './TargetCapacity.js';
export { indexLoads, type PoolDemand, type TargetLoad } from './PoolDemand.js';
export { type Evacuation, planEvacuations, type PlanEvacuationsInput } from './planEvacuations.js';
export {
  type MaintenanceWave,
  planMaintenance,
  type PlanMaintenanceInput,
  DEFAULT_STEP_MS,
} from './planMaintenance.js';
export { planMoves, type PlanMovesInput, type PoolSummary, summarizePools } from './planMoves.js';
export { listWaitingByPriority } from './listWaitingByPriority.js';
export { type PriorityShortage, shareVms } from './shareVms.js';
export { type PaceChange, type PacedTask, planPace, type ServingLoad } from './planPace.js';
export type { ExpectedPeak } from './ExpectedPeak.js';
export {
  PeakForecast,
  type PeakForecastChange,
  type PeakForecastState,
  type PeakObservations,
} from './PeakForecast.js';
export type { PeakRhythmState } from './PeakRhythm.js';
export type { PeakTurnsState } from './PeakTurns.js';
export type { PoolPeakPatternState } from './PoolPeakPattern.js';
export { type PoolPeak, PoolPeaks } from './PoolPeaks.js';
export {
  type HomeCapacity,
  isLarger,
  shouldHoldHomes,
  type ShouldHoldHomesInput,
} from './shouldHoldHomes.js';
export {
  advanceRun,
  hasUnansweredStart,
  INHERITED_RUN,
  PLACED_RUN,
  type RunEvent,
  type RunLife,
  type RunPhase,
  type RunTransition,
  type RunLifeVerdict,
  STOP_PHASES,
} from './runLife.js';
export { type GetOrganisationPart, OrganisationRooms } from './OrganisationRooms.js';
export { getShareKey, listOrganisationUse, type OrganisationUse } from './OrganisationUse.js';
export { sumReadyCpu } from './sumReadyCpu.js';
export { type LimitClaim, shareLimit, type ShareLimitInput } from './shareLimit.js';
export {
  type LimitOrder,
  type LimitPart,
  type LimitReport,
  UNLIMITED_AMOUNT,
} from './LimitPart.js';
export { type GetWeight, orderByShare, type OrderByShareInput } from './orderByShare.js';
export { IdleWindow } from './IdleWindow.js';
export type { MoveReason, VmMove } from './VmMove.js';
