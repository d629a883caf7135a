import type { EndedTaskReport } from '../../src/targets/index.js';

/** Is told what happens on the targets, at the time by their clock at which it happens. */
export interface TargetObserver {
  readonly onBegun: (targetId: string, taskName: string, run: number) => void;
  readonly onEnded: (targetId: string, ended: EndedTaskReport, atMs: number) => void;
  /** Every end up to this number has been acknowledged, by a renewal that was carried out. */
  readonly onAcknowledged: (targetId: string, endNumber: number) => void;
  readonly onLapsed: (targetId: string, atMs: number) => void;
  readonly onCrashed: (targetId: string) => void;
}
