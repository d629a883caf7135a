import { LoadLog, type LoadLogOptions } from './LoadLog.js';
import { PauseLog } from './PauseLog.js';
import { TimerWatch } from './TimerWatch.js';

/**
 * Creates the watch over the timers of a process, with the logs of its pauses and of its load.
 * @param options - Clock, and destination of the lines.
 * @returns The watch, which checks nothing until it is started.
 */
export function createTimerWatch({ clock, events }: LoadLogOptions): TimerWatch {
  const logs = [new PauseLog(events), new LoadLog({ clock, events })];
  const onDelay = (delayMs: number): void => logs.forEach((log) => log.noteDelay(delayMs));
  return new TimerWatch({ clock, onDelay });
}
