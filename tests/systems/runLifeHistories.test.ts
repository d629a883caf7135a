import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RunLifeModel } from './support/RunLifeModel.js';

const HISTORY_COUNT = Number(process.env.RUN_LIFE_HISTORIES ?? 20_000);
const SEED = Number(process.env.RUN_LIFE_SEED ?? 1);
const MAX_STEP_COUNT = 60;

const histories = fc.array(fc.nat({ max: 99_999 }), {
  maxLength: MAX_STEP_COUNT,
  size: 'max',
});

describe('advanceRun, in drawn histories', () => {
  // Guards against two runs of a task, as an answer to one call is taken for that of another.
  it('lets a task run once at a time, and never after its acknowledged end', () => {
    fc.assert(
      fc.property(histories, (choices) => {
        const model = new RunLifeModel();
        choices.forEach((choice) => model.take(choice));
        expect(model.violations).toEqual([]);
      }),
      { numRuns: HISTORY_COUNT, seed: SEED },
    );
  });
});
