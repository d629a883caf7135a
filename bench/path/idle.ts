import { readFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { PathCluster, type PathDaemon } from './PathCluster.js';

const DAEMON_COUNT = 8;
const SETTLE_MS = 6_000;
const WATCH_MS = 15_000;
const BYTES_PER_KB = 1_024;
const PERCENT = 100;

/** Reads the bytes that a daemon has read and written, all its sockets and its log together. */
function readIoKb({ managed }: PathDaemon): number {
  const io = readFileSync(`/proc/${managed.pid}/io`, 'utf8');
  const read = Number(/rchar: (\d+)/.exec(io)?.[1] ?? 0);
  const written = Number(/wchar: (\d+)/.exec(io)?.[1] ?? 0);
  return (read + written) / BYTES_PER_KB;
}

const cluster = new PathCluster();
try {
  await cluster.start(DAEMON_COUNT);
  await sleep(SETTLE_MS);
  const before = cluster.daemons.map((daemon) => ({
    cpuS: PathCluster.readCpuS(daemon),
    ioKb: readIoKb(daemon),
  }));
  await sleep(WATCH_MS);
  cluster.daemons.forEach((daemon, index) => {
    const cpuS = PathCluster.readCpuS(daemon) - before[index]!.cpuS;
    const ioKb = readIoKb(daemon) - before[index]!.ioKb;
    const cpuPercent = ((cpuS * 1_000) / WATCH_MS) * PERCENT;
    const kbPerS = (ioKb * 1_000) / WATCH_MS;
    const rssMb = PathCluster.readRssMb(daemon);
    const figures = `${cpuPercent.toFixed(2)} % of a core, ${kbPerS.toFixed(1)} KB/s`;
    console.log(`${daemon.instance}: ${figures}, RSS ${rssMb.toFixed(0)} MB`);
  });
} finally {
  await cluster.stop();
}
