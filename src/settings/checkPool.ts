import type { JsonDocument, ProblemText } from './JsonDocument.js';
import type { SettingsProblem } from './SettingsProblem.js';
import type { PoolSettings } from './TeamSettings.js';

const OTHER_TEAMS = '*';

/** One pool with what its checks need to know. */
interface PoolCheck {
  readonly document: JsonDocument;
  readonly team: string;
  readonly path: readonly PropertyKey[];
  readonly pool: PoolSettings;
}

/** States a problem at a value of the pool. */
function problemOf(
  { document, path }: PoolCheck,
  subPath: readonly PropertyKey[],
  text: ProblemText,
): SettingsProblem {
  return document.problemAtValue([...path, ...subPath], text);
}

/** Checks that the pool can run something at all. */
function checkJobKinds(check: PoolCheck): readonly SettingsProblem[] {
  if (Object.keys(check.pool.jobKinds).length > 0) return [];
  return [problemOf(check, ['jobKinds'], { expected: 'at least one job kind', found: 'none' })];
}

/** Checks that the team that owns the pool may use it. */
function checkQuotas(check: PoolCheck): readonly SettingsProblem[] {
  const { quotas } = check.pool;
  if (Object.hasOwn(quotas, check.team) || Object.hasOwn(quotas, OTHER_TEAMS)) return [];
  const expected = `a quota for "${check.team}" or for "${OTHER_TEAMS}"`;
  return [problemOf(check, ['quotas'], { expected, found: 'neither' })];
}

/** Checks that the maintenance window is open for some time. */
function checkMaintenance(check: PoolCheck): readonly SettingsProblem[] {
  const { windowStartMinuteOfDay, windowEndMinuteOfDay } = check.pool.maintenance;
  if (windowStartMinuteOfDay !== windowEndMinuteOfDay) return [];
  return [
    problemOf(check, ['maintenance', 'windowEndMinuteOfDay'], {
      expected: 'another minute than windowStartMinuteOfDay',
      found: `${windowEndMinuteOfDay}, a window of no length`,
    }),
  ];
}

/** Checks that data centres are named once and that one can be lost where the pool says so. */
function checkDataCentres(check: PoolCheck): readonly SettingsProblem[] {
  const { availability, dataCentres } = check.pool;
  const repeated = dataCentres.flatMap((name, index) =>
    dataCentres.indexOf(name) === index
      ? []
      : [
          problemOf(check, ['dataCentres', index], {
            expected: 'each data centre once',
            found: `"${name}" again`,
          }),
        ],
  );
  if (availability.failureDomain !== 'data-centre' || dataCentres.length !== 1) return repeated;
  return [
    ...repeated,
    problemOf(check, ['dataCentres'], {
      expected: 'at least two data centres, as the pool must survive the loss of one',
      found: 'one',
    }),
  ];
}

/** Warns of a budget that hardly any fleet can meet. */
function checkBudget(check: PoolCheck): readonly SettingsProblem[] {
  const { availability, neededSlotCount, dataCentres } = check.pool;
  const path = ['availability', 'maxUnavailableFraction'];
  const fraction = availability.maxUnavailableFraction;
  const found = String(fraction);
  if (neededSlotCount * fraction < 1) {
    const expected = `at least 1/${neededSlotCount}, or not even a VM of one slot may be out`;
    return [problemOf(check, path, { severity: 'warning', expected, found })];
  }
  const isDataCentreLost = availability.failureDomain === 'data-centre' && dataCentres.length > 1;
  if (isDataCentreLost && fraction * dataCentres.length < 1) {
    const expected = `at least 1/${dataCentres.length}, what the loss of one data centre takes`;
    return [problemOf(check, path, { severity: 'warning', expected, found })];
  }
  return [];
}

/** Warns of runs that neither a checkpoint nor the drain's wait can end. */
function checkLongRuns(check: PoolCheck): readonly SettingsProblem[] {
  const { jobKinds, maintenance } = check.pool;
  return Object.entries(jobKinds)
    .filter(([, kind]) => !kind.checkpointable)
    .flatMap(([name, kind]) => {
      if (kind.urgency === 'overnight') {
        const expected = 'true for overnight work, so that urgent work can take its slot';
        const text: ProblemText = { severity: 'warning', expected, found: 'false' };
        return [problemOf(check, ['jobKinds', name, 'checkpointable'], text)];
      }
      if (kind.expectedRunMs <= maintenance.drainTimeoutMs) return [];
      const expected = `at most drainTimeoutMs (${maintenance.drainTimeoutMs}), or a checkpointable kind`;
      const text: ProblemText = { severity: 'warning', expected, found: `${kind.expectedRunMs}` };
      return [problemOf(check, ['jobKinds', name, 'expectedRunMs'], text)];
    });
}

/**
 * Checks one pool across its fields.
 * @param document - Document that the pool stands in.
 * @param team - Team that owns the pool.
 * @param name - Name of the pool.
 * @param pool - Its settings.
 * @returns Errors and warnings.
 */
export function checkPool(
  document: JsonDocument,
  team: string,
  name: string,
  pool: PoolSettings,
): readonly SettingsProblem[] {
  const check: PoolCheck = { document, team, path: ['pools', name], pool };
  return [
    ...checkJobKinds(check),
    ...checkQuotas(check),
    ...checkMaintenance(check),
    ...checkDataCentres(check),
    ...checkBudget(check),
    ...checkLongRuns(check),
  ];
}
