/* eslint-disable class-methods-use-this, max-classes-per-file, no-param-reassign,
   no-promise-executor-return, no-restricted-syntax -- a small stand-in in one file */
/**
 * A small stand-in of the platform's store: keyed logs, fenced appends and groups, over HTTP/1.1 as
 * the page PROTOCOL describes them. Everything is kept in memory.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { URL } from 'node:url';
import { clearTimeout, setTimeout } from 'node:timers';

const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_BYTES = 1_000_000;
const REMEMBERED_APPENDS = 5;

function readBody(request) {
  return new Promise((resolve, reject) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => resolve(Buffer.concat(chunks)));
    request.on('error', reject);
  });
}

/** Sends a JSON answer. */
export function sendJson(response, status, body = {}) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

export { readBody };

/** Splits the body of an append into the contents of its records; undefined if it is cut off. */
function splitRecords(body) {
  const records = [];
  let at = 0;
  while (at < body.length) {
    if (at + 4 > body.length) return undefined;
    const end = at + 4 + body.readUInt32BE(at);
    if (end > body.length) return undefined;
    records.push(body.subarray(at + 4, end));
    at = end;
  }
  return records;
}

class Group {
  generation = 0;

  /** Who is to have each partition; a change of the members moves no more than it must. */
  wanted = new Map();

  members = new Map();

  holders = new Map();
}

export class Store {
  /** `undefined`, or `silent`: no call is answered and nothing is done. */
  outage = undefined;

  /** Machines that the store does not answer, and for which it does nothing. */
  cutOff = new Set();

  /** Counts of refused appends, by status. */
  refusedAppends = new Map();

  constructor({ partitionCount, recordBytes, requestBytes, appendMs = 3 }) {
    Object.assign(this, { partitionCount, recordBytes, requestBytes, appendMs });
    this.partitions = new Map();
    this.groups = new Map();
    this.waiters = new Set();
    this.servers = [];
  }

  /** Listens for one machine, so that the store can be cut off from it alone. */
  listen(host, machine) {
    const server = createServer((request, response) => {
      this.handle(request, response, machine).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 120_000;
    this.servers.push(server);
    return new Promise((resolve) => {
      server.listen(0, host, () => resolve(`${host}:${server.address().port}`));
    });
  }

  close() {
    this.servers.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
  }

  /** Tells whether the store gives no answer to a machine. */
  isAway(machine) {
    return this.outage === 'silent' || this.cutOff.has(machine);
  }

  getPartition(topic, part) {
    const name = `${topic} ${part}`;
    let partition = this.partitions.get(name);
    if (partition === undefined) {
      partition = {
        name,
        records: [],
        newest: new Map(),
        producers: new Map(),
        queue: Promise.resolve(),
      };
      this.partitions.set(name, partition);
    }
    return partition;
  }

  /** Writes a keyed record as the operator or an executor does. */
  put(topic, key, value) {
    const keyBytes = Buffer.from(key);
    const content = Buffer.concat([
      Buffer.from([keyBytes.length]),
      keyBytes,
      value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value)),
    ]);
    this.add(this.getPartition(topic, 0), [content]);
  }

  /** Reads the newest record of a key as text; undefined if there is none. */
  getNewest(topic, part, key) {
    return this.getPartition(topic, part).newest.get(key)?.value;
  }

  add(partition, contents) {
    contents.forEach((content) => {
      const offset = partition.records.length;
      partition.records.push(content);
      const keyLength = content.readUInt8(0);
      const key = content.subarray(1, 1 + keyLength).toString('utf8');
      const value = content.subarray(1 + keyLength);
      if (value.length === 0) partition.newest.delete(key);
      else partition.newest.set(key, { key, value, offset });
    });
    [...this.waiters]
      .filter((waiter) => waiter.name === partition.name)
      .forEach(({ wake }) => wake());
  }

  async handle(request, response, machine) {
    const url = new URL(request.url, 'http://store');
    const body = await readBody(request);
    if (this.isAway(machine)) return;
    const { pathname: path, searchParams: query } = url;
    if (path === '/api/log-append') await this.append(query, body, response, machine);
    else if (path === '/api/log-read') await this.read(query, response, machine);
    else if (path === '/api/log-newest') this.readNewest(query, response);
    else if (path === '/api/log-join') this.join(JSON.parse(body), response);
    else if (path === '/api/log-leave') this.leave(JSON.parse(body), response);
    else if (path === '/api/log-owners') this.listOwners(query, response);
    else sendJson(response, 404);
  }

  /** Appends to one partition follow each other, each takes `appendMs`. */
  async append(query, body, response, machine) {
    const partition = this.getPartition(query.get('topic'), query.get('part'));
    const turn = partition.queue.then(
      () => new Promise((resolve) => setTimeout(resolve, this.appendMs)),
    );
    partition.queue = turn;
    await turn;
    if (this.isAway(machine)) return;
    const [status, answer] = this.applyAppend(partition, query, body);
    if (status !== 200) this.refusedAppends.set(status, (this.refusedAppends.get(status) ?? 0) + 1);
    sendJson(response, status, answer);
  }

  applyAppend(partition, query, body) {
    const contents = splitRecords(body);
    if (contents === undefined) return [400, {}];
    if (body.length > this.requestBytes) return [413, {}];
    if (contents.some(({ length }) => length > this.recordBytes)) return [413, {}];
    const producer = query.get('producer');
    const epoch = Number(query.get('epoch'));
    const sequence = Number(query.get('sequence'));
    if (producer !== null) {
      const known = partition.producers.get(producer);
      if (known !== undefined && epoch < known.epoch) return [409, { reason: 'fenced' }];
      if (known !== undefined && epoch === known.epoch) {
        const repeated = known.answers.find((entry) => entry.sequence === sequence);
        if (repeated !== undefined) return [200, repeated.answer];
        if (sequence !== known.sequence + 1) {
          return [409, { reason: 'seq', sequence: known.sequence + 1 }];
        }
      }
    }
    const offset = partition.records.length;
    this.add(partition, contents);
    const answer = { offset, end: partition.records.length };
    if (producer !== null) {
      const known = partition.producers.get(producer);
      const earlier = known?.epoch === epoch ? known.answers : [];
      const answers = [...earlier, { sequence, answer }].slice(-REMEMBERED_APPENDS);
      partition.producers.set(producer, { epoch, sequence, answers });
    }
    return [200, answer];
  }

  async read(query, response, machine) {
    const partition = this.getPartition(query.get('topic'), query.get('part'));
    const from = Number(query.get('from'));
    const waitMs = Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    if (from >= partition.records.length && waitMs > 0) await this.waitFor(partition, waitMs);
    if (this.isAway(machine)) return;
    const maxCount = Number(query.get('max_size') ?? 1_024);
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(partition.records.length), 0);
    const parts = partition.records.slice(from, from + maxCount).flatMap((content) => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(content.length);
      return [length, content];
    });
    const body = Buffer.concat([head, ...parts]);
    response.writeHead(200, { 'content-length': body.length });
    response.end(body);
  }

  waitFor({ name }, waitMs) {
    return new Promise((resolve) => {
      const waiter = { name, wake: undefined };
      const timer = setTimeout(() => waiter.wake(), waitMs);
      waiter.wake = () => {
        clearTimeout(timer);
        this.waiters.delete(waiter);
        resolve();
      };
      this.waiters.add(waiter);
    });
  }

  readNewest(query, response) {
    const partition = this.getPartition(query.get('topic'), query.get('part'));
    const after = query.get('after') ?? '';
    const left = [...partition.newest.values()]
      .filter(({ key }) => key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = [];
    let bytes = 0;
    for (const { key, value, offset } of left) {
      if (items.length > 0 && (items.length >= MAX_PAGE_ITEMS || bytes > MAX_PAGE_BYTES)) break;
      const text = value.toString('base64');
      bytes += text.length;
      items.push({ key, value: text, offset });
    }
    const end = partition.records.length;
    sendJson(response, 200, { items, has_more: items.length < left.length, end });
  }

  getGroup(name) {
    const group = this.groups.get(name) ?? new Group();
    this.groups.set(name, group);
    const nowMs = performance.now();
    [...group.members]
      .filter(([, { untilMs }]) => untilMs <= nowMs)
      .forEach(([member]) => this.removeMember(group, member));
    return group;
  }

  removeMember(group, member) {
    group.members.delete(member);
    group.generation += 1;
    this.balance(group);
    [...group.holders]
      .filter(([, holder]) => holder === member)
      .forEach(([part]) => group.holders.delete(part));
    this.share(group);
  }

  /** Shares the partitions out evenly, and moves the lowest numbers where some have to move. */
  balance(group) {
    const members = [...group.members.keys()].sort();
    if (members.length === 0) return;
    const listOf = (member) =>
      [...group.wanted].filter(([, holder]) => holder === member).map(([part]) => part);
    const byLoad = () => members.toSorted((a, b) => listOf(a).length - listOf(b).length);
    for (let part = 0; part < this.partitionCount; part += 1) {
      if (!group.members.has(group.wanted.get(part))) group.wanted.set(part, byLoad()[0]);
    }
    for (;;) {
      const [least, ...others] = byLoad();
      const most = others.at(-1) ?? least;
      if (listOf(most).length - listOf(least).length <= 1) break;
      group.wanted.set(Math.min(...listOf(most)), least);
    }
  }

  /** Gives on the partitions whose holders have acted on the present generation. */
  share(group) {
    group.wanted.forEach((wanted, part) => {
      const confirmed = group.members.get(group.holders.get(part))?.generation ?? Infinity;
      if (confirmed >= group.generation) group.holders.set(part, wanted);
    });
  }

  /** Deals all partitions of a group anew, at once and without any request. */
  dealAnew(name) {
    const group = this.getGroup(name);
    const members = [...group.members.keys()].sort();
    const getNext = (member) => members[(members.indexOf(member) + 1) % members.length];
    group.generation += 1;
    group.wanted.forEach((member, part) => {
      group.wanted.set(part, getNext(member));
      group.holders.set(part, getNext(member));
    });
  }

  join({ group: name, member, topics, ttl_ms: ttlMs, generation }, response) {
    const group = this.getGroup(name);
    const joinedAtMs = performance.now();
    const isNew = !group.members.has(member);
    group.members.set(member, { generation, joinedAtMs, untilMs: joinedAtMs + ttlMs });
    if (isNew) {
      group.generation += 1;
      this.balance(group);
    }
    this.share(group);
    const parts = [...group.holders]
      .filter(([part, holder]) => holder === member && group.wanted.get(part) === member)
      .map(([part]) => [topics[0], part, 0]);
    sendJson(response, 200, { generation: group.generation, parts });
  }

  leave({ group: name, member }, response) {
    const group = this.getGroup(name);
    if (group.members.has(member)) this.removeMember(group, member);
    sendJson(response, 200);
  }

  listOwners(query, response) {
    const group = this.getGroup(query.get('group'));
    const owners = [...group.holders].map(([part, member]) => ['keyed.jobs', part, member, 0]);
    sendJson(response, 200, { owners });
  }
}
