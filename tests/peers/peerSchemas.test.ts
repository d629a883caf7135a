import { describe, expect, it } from 'vitest';
import { parsePeerReply } from '../../src/peers/peerSchemas.js';

const REPORT = { type: 'report', targetClockMs: 5, running: [], ended: [] };

describe('the reply of an instance that relays a report', () => {
  // Guards against tasks that start again after their ends, as a relay drops what the target told.
  it.each([true, false])('tells whether the report has all ends (%s)', (hasAllEnds) => {
    const reply = { type: 'target-answer', answer: { ...REPORT, hasAllEnds } };
    expect(parsePeerReply(reply)).toEqual(reply);
  });

  // Guards against targets that count as silent while two versions work together.
  it('is understood if the relay is of an earlier version', () => {
    const reply = parsePeerReply({ type: 'target-answer', answer: REPORT });
    expect(reply).toEqual({ type: 'target-answer', answer: { ...REPORT, hasAllEnds: true } });
  });
});
