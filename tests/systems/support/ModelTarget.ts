/** A call to a modelled target. */
export interface ModelCall {
  readonly type: 'start' | 'stop' | 'renew';
  readonly targetId: string;
  readonly run: number;
  readonly term: number;
  readonly acknowledgedEndCount: number;
}

/** An end that a modelled target lists. */
export interface ModelEnd {
  readonly endNumber: number;
  readonly run: number;
  readonly isDone: boolean;
}

/** Answer of a modelled target. */
export type ModelAnswer =
  | { readonly type: 'accepted' }
  | { readonly type: 'refused' }
  | { readonly type: 'old' }
  | { readonly type: 'stale-term' }
  | {
      readonly type: 'report';
      readonly running: number | undefined;
      readonly ends: readonly ModelEnd[];
    };

/** One target that runs one task, as the platform's protocol describes it. */
export class ModelTarget {
  /** Run that is going on. */
  running: number | undefined;

  /** Ends that nobody has acknowledged. */
  ends: readonly ModelEnd[] = [];

  private highestTerm = 0;

  private highestEndedRun = 0;

  private endCount = 0;

  /** Carries a call out. */
  apply(call: ModelCall): ModelAnswer {
    if (call.term < this.highestTerm) return { type: 'stale-term' };
    this.highestTerm = call.term;
    if (call.type === 'start') return this.start(call.run);
    if (call.type === 'stop') return this.stop(call.run);
    this.ends = this.ends.filter(({ endNumber }) => endNumber > call.acknowledgedEndCount);
    return { type: 'report', running: this.running, ends: this.ends };
  }

  /** Ends the run that is going on. */
  end(isDone: boolean): void {
    const run = this.running!;
    this.running = undefined;
    this.highestEndedRun = Math.max(this.highestEndedRun, run);
    this.endCount += 1;
    this.ends = [...this.ends, { endNumber: this.endCount, run, isDone }];
  }

  private start(run: number): ModelAnswer {
    if (this.running === run) return { type: 'accepted' };
    if (run <= this.highestEndedRun) return { type: 'old' };
    this.running = run;
    return { type: 'accepted' };
  }

  private stop(run: number): ModelAnswer {
    if (this.running === run) this.end(false);
    this.highestEndedRun = Math.max(this.highestEndedRun, run);
    return { type: 'accepted' };
  }
}
