type LogLine = Readonly<Record<string, unknown>>;

function spanMs(lines: readonly LogLine[]): number | undefined {
  const timesMs = lines.map((line) => Date.parse(String(line.at)));
  return timesMs.length === 0 ? undefined : Math.max(...timesMs) - Math.min(...timesMs);
}

/**
 * Measures a wave from its first step to the end of its last one.
 * @param logLines - Lines of every daemon.
 * @param wave - Id of the wave.
 * @returns Milliseconds, or undefined where no step was logged.
 */
export function getWaveRollOutMs(logLines: readonly LogLine[], wave: string): number | undefined {
  return spanMs(
    logLines.filter(
      (line) =>
        line.wave === wave && (line.event === 'stepStarted' || line.event === 'stepFinished'),
    ),
  );
}

/**
 * Measures the slowest change of settings, from the first instance that had it in force to the
 * last one.
 * @param logLines - Lines of every daemon.
 * @returns Milliseconds, or undefined where nothing was published.
 */
export function getConfigurationRollOutMs(logLines: readonly LogLine[]): number | undefined {
  const inForce = logLines.filter((line) => line.event === 'settingsInForce');
  const changes = new Set(inForce.map((line) => `${String(line.team)} ${String(line.version)}`));
  const spans = [...changes].map((change) =>
    spanMs(inForce.filter((line) => `${String(line.team)} ${String(line.version)}` === change)),
  );
  return spans.reduce(
    (longest, span) => (longest === undefined ? span : Math.max(longest, span ?? 0)),
    undefined,
  );
}
