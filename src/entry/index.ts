export { Entry, type EntryOptions } from './Entry.js';
export { FinishReporter, type FinishReport } from './FinishReporter.js';
export { GrantRenewer, type UsedGrant } from './GrantRenewer.js';
export { HomeRouter, type HomeRouterOptions } from './HomeRouter.js';
export { JobRun, type JobRunContext } from './JobRun.js';
export { NotRunCheck, type NotRunCheckOptions } from './NotRunCheck.js';
export { RetryBudget, type RetryBudgetOptions } from './RetryBudget.js';
