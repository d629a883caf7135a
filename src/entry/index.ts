export { Entry, type EntryOptions } from './Entry.js';
export { FinishReporter, type FinishReport } from './FinishReporter.js';
export { GrantKeeper, type UsedGrant } from './GrantKeeper.js';
export { HomeRouter, type HomeRouterOptions } from './HomeRouter.js';
export { JobRun, type JobRunContext } from './JobRun.js';
export { NotRunCheck, type NotRunCheckOptions } from './NotRunCheck.js';
export { RetryBudget, type RetryBudgetOptions } from './RetryBudget.js';
