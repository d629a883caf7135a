import { Readable } from 'node:stream';
import type { EntryPort, JobAnswer, JobState, JobSubmission } from '../../src/callers/index.js';
import { throwError } from '../../src/errors/index.js';

type Run = (submission: JobSubmission) => Promise<JobAnswer>;

/** Makes the answer of a target that sends a text. */
export const answerText = (requestId: string, text: string | Readable): JobAnswer => ({
  type: 'answered',
  requestId,
  vm: 'vm-1',
  httpStatus: 200,
  contentType: 'text/plain',
  body: typeof text === 'string' ? Readable.from([Buffer.from(text)]) : text,
});

const echo: Run = async ({ requestId, body }) => answerText(requestId, `ran ${body.toString()}`);

/** Entry that keeps what it is given and answers as told. */
export class FakeEntry implements EntryPort {
  readonly submissions: JobSubmission[] = [];

  runWith: Run = echo;

  run(submission: JobSubmission): Promise<JobAnswer> {
    this.submissions.push(submission);
    const { runWith } = this;
    return runWith(submission);
  }

  async submit(submission: JobSubmission): Promise<JobState> {
    this.submissions.push(submission);
    const { requestId, pool } = submission;
    return { jobId: 'i~1', requestId, pool, phase: 'waiting' };
  }

  async getJob(jobId: string): Promise<JobState> {
    const [submission] = this.submissions;
    if (jobId !== 'i~1' || !submission) return throwError('unknown-job', `No job ${jobId}.`);
    const { requestId, pool } = submission;
    return { jobId, requestId, pool, phase: 'finished', outcome: 'run', httpStatus: 200 };
  }

  cancelJob(jobId: string): Promise<JobState> {
    return this.getJob(jobId);
  }
}
