import { z } from 'zod';

const figures = z.record(z.string(), z.number()).readonly();

/** Schema of the outcome that is stated for a recorded trace. */
export const expectedOutcomeSchema = z
  .strictObject({
    brokenPromiseCount: z.literal(0),
    /** Figures that must come out as they are. */
    exactly: figures,
    atMost: figures,
    atLeast: figures,
  })
  .readonly();

/** Outcome that is stated for a recorded trace. */
export type ExpectedOutcome = z.output<typeof expectedOutcomeSchema>;
