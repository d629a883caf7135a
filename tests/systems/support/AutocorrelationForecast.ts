import type { ExpectedPeak, PoolDemand } from '../../../src/systems/index.js';
import type { PlayedForecast } from './playPeaks.js';

/** Length of one sample, in milliseconds. */
const SAMPLE_MS = 500;
/** Lags that count, in samples: 5 to 90 s. */
const MIN_LAG = 10;
const MAX_LAG = 180;
/** Least autocorrelation of a period. */
const MIN_CORRELATION = 0.5;
/** Share of the highest load from which on a sample belongs to a peak. */
const PEAK_SHARE = 0.4;
/** Assumed spread of a beginning, in milliseconds. */
const SPREAD_MS = 2_000;
/** Time ahead in which a peak is looked for, in milliseconds. */
const AHEAD_MS = 8_000;

function correlate(samples: readonly number[], lag: number): number {
  const mean = samples.reduce((sum, value) => sum + value, 0) / samples.length;
  const variance = samples.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  const product = samples
    .slice(lag)
    .reduce((sum, value, index) => sum + (value - mean) * (samples[index]! - mean), 0);
  const overlap = (samples.length - lag) / samples.length;
  return variance === 0 ? 0 : product / variance / overlap;
}

/** Lists the peak that a pool is expected to have by the period of its load. */
function expectPeak(
  pool: string,
  samples: readonly number[],
  nowMs: number,
): readonly ExpectedPeak[] {
  const lagCount = Math.min(MAX_LAG, Math.floor(samples.length / 2)) - MIN_LAG;
  if (lagCount <= 0) return [];
  const lags = Array.from({ length: lagCount }, (_, index) => MIN_LAG + index);
  const correlations = lags.map((lag) => correlate(samples, lag));
  const confidence = Math.max(...correlations);
  if (confidence < MIN_CORRELATION) return [];
  const lag = lags[correlations.indexOf(confidence)]!;
  const height = Math.max(...samples);
  const isPeak = (value: number): boolean => value >= height * PEAK_SHARE;
  if (isPeak(samples.at(-1)!)) return [];
  const period = samples.slice(samples.length - lag);
  const ahead = period.slice(0, AHEAD_MS / SAMPLE_MS).findIndex(isPeak);
  if (ahead < 0) return [];
  const startsAtMs = nowMs + ahead * SAMPLE_MS - SPREAD_MS;
  return [{ pool, startsAtMs, endsAtMs: startsAtMs, vmCount: height, confidence }];
}

/** The way that was weighed against turns and rounds: the period of each pool's load alone. */
export class AutocorrelationForecast implements PlayedForecast {
  private readonly samples = new Map<string, number[]>();

  observe(demands: readonly PoolDemand[], nowMs: number): void {
    const sampleCount = Math.floor(nowMs / SAMPLE_MS);
    demands.forEach(({ pool, targets, waitingCpuMillicores }) => {
      const used = targets.reduce((sum, target) => sum + target.usedCpuMillicores, 0);
      const vmMillicores = targets[0]?.cpuMillicores ?? 1;
      const samples = this.samples.get(pool) ?? [];
      this.samples.set(pool, samples);
      while (samples.length < sampleCount) {
        samples.push((used + waitingCpuMillicores) / vmMillicores);
      }
    });
  }

  listExpectedPeaks(nowMs: number): readonly ExpectedPeak[] {
    return [...this.samples].flatMap(([pool, samples]) => expectPeak(pool, samples, nowMs));
  }
}
