import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const PARTITION_COUNT = 16;
const APPEND_MS = 3;
const REMEMBERED_APPENDS = 5;
const MAX_PAGE_COUNT = 500;
const MAX_READ_COUNT = 1_024;
const MAX_WAIT_MS = 30_000;

function encodeRecord(content) {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

function decodeRecords(body) {
  const records = [];
  let at = 0;
  while (at < body.length) {
    const end = at + 4 + body.readUInt32BE(at);
    records.push(body.subarray(at + 4, end));
    at = end;
  }
  return records;
}

function splitKeyed(content) {
  const keyEnd = 1 + content.readUInt8(0);
  return { key: content.subarray(1, keyEnd).toString('utf8'), value: content.subarray(keyEnd) };
}

function joinKeyed(key, value) {
  const keyBytes = Buffer.from(key, 'utf8');
  return Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
}

function add(partition, contents, topic) {
  const offset = partition.records.length;
  contents.forEach((content, index) => {
    partition.records.push(content);
    if (!topic.startsWith('keyed.')) return;
    const { key, value } = splitKeyed(content);
    if (value.length === 0) partition.newest.delete(key);
    else partition.newest.set(key, { value, offset: offset + index });
  });
  [...partition.waiters].forEach((wake) => wake());
  return { offset, end: partition.records.length };
}

function getWanted(group, part) {
  const members = [...group.members.keys()].sort();
  return members[part % Math.max(1, members.length)];
}

/** Gives a partition on once its holder has joined with the current generation. */
function handOver(group) {
  Array.from({ length: PARTITION_COUNT }, (_part, part) => part).forEach((part) => {
    const holder = group.holders.get(part);
    const wanted = getWanted(group, part);
    if (wanted === undefined || wanted === holder) return;
    const confirmed = group.members.get(holder)?.generation ?? Infinity;
    if (confirmed >= group.generation) group.holders.set(part, wanted);
  });
}

function removeMember(group, member) {
  group.members.delete(member);
  Object.assign(group, { generation: group.generation + 1 });
  [...group.holders]
    .filter(([, holder]) => holder === member)
    .forEach(([part]) => group.holders.delete(part));
  handOver(group);
}

function expire(group) {
  const nowMs = performance.now();
  [...group.members]
    .filter(([, { untilMs }]) => untilMs <= nowMs)
    .forEach(([member]) => removeMember(group, member));
}

/** A small stand-in for the platform's store: a log with keyed topics, fences and groups. */
export class StorePlatform {
  partitions = new Map();

  groups = new Map();

  /** Called before each call is carried out; may return a status that refuses it. */
  intercept = undefined;

  appendQueue = new Map();

  async listen(host, port) {
    this.server = createServer((request, response) => this.handle(request, response));
    await new Promise((resolve, reject) => {
      this.server.once('error', reject).listen(port, host, resolve);
    });
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a record as the operator or an executor would. */
  put(topic, key, value) {
    const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    add(this.getPartition(topic, 0), [joinKeyed(key, bytes)], topic);
  }

  getPartition(topic, part) {
    const name = `${topic} ${part}`;
    if (!this.partitions.has(name)) {
      const created = { records: [], newest: new Map(), producers: new Map(), waiters: new Set() };
      this.partitions.set(name, created);
    }
    return this.partitions.get(name);
  }

  handle(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const url = new URL(request.url, 'http://store');
      const body = Buffer.concat(chunks);
      const refused = this.intercept?.({ request, url, body });
      if (refused === 'silent') return;
      if (refused === 'reset') {
        request.socket.destroy();
        return;
      }
      if (refused !== undefined) {
        response.writeHead(refused).end();
        return;
      }
      this.dispatch(url, body, response);
    });
  }

  dispatch(url, body, response) {
    const send = (status, value) => {
      const bytes = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
      const type = Buffer.isBuffer(value) ? 'application/octet-stream' : 'application/json';
      response.writeHead(status, { 'content-type': type }).end(bytes);
    };
    switch (url.pathname) {
      case '/api/log-append':
        this.append(url.searchParams, body, send);
        return;
      case '/api/log-read':
        this.read(url.searchParams, send);
        return;
      case '/api/log-newest':
        this.readNewest(url.searchParams, send);
        return;
      case '/api/log-join':
        send(200, this.join(JSON.parse(body)));
        return;
      case '/api/log-leave':
        this.leave(JSON.parse(body));
        send(200, {});
        return;
      case '/api/log-owners':
        send(200, { owners: this.listOwners(url.searchParams.get('group')) });
        return;
      default:
        send(404, {});
    }
  }

  append(query, body, send) {
    const topic = query.get('topic');
    if (topic === 'keyed.op' || topic === 'keyed.servers') {
      send(403, {});
      return;
    }
    const partition = this.getPartition(topic, query.get('part'));
    const carryOut = () => {
      const producer = query.get('producer');
      if (producer === null) {
        send(200, add(partition, decodeRecords(body), topic));
        return;
      }
      const epoch = Number(query.get('epoch'));
      const sequence = Number(query.get('sequence'));
      const known = partition.producers.get(producer);
      if (known !== undefined && epoch < known.epoch) {
        send(409, { reason: 'fenced' });
        return;
      }
      const isNewEpoch = known === undefined || epoch > known.epoch;
      if (!isNewEpoch) {
        const repeated = known.answers.find((answer) => answer.sequence === sequence);
        if (repeated !== undefined) {
          send(200, repeated.result);
          return;
        }
        if (sequence !== known.sequence + 1) {
          send(409, { reason: 'seq', sequence: known.sequence + 1 });
          return;
        }
      }
      const result = add(partition, decodeRecords(body), topic);
      const answers = isNewEpoch ? [] : known.answers;
      partition.producers.set(producer, {
        epoch,
        sequence,
        answers: [...answers, { sequence, result }].slice(-REMEMBERED_APPENDS),
      });
      send(200, result);
    };
    // A partition processes its appends one at a time.
    const before = this.appendQueue.get(partition) ?? Promise.resolve();
    const done = before.then(
      () =>
        new Promise((resolve) => {
          setTimeout(() => {
            carryOut();
            resolve();
          }, APPEND_MS);
        }),
    );
    this.appendQueue.set(partition, done);
  }

  read(query, send) {
    const partition = this.getPartition(query.get('topic'), query.get('part'));
    const from = Number(query.get('from'));
    const maxCount = Number(query.get('max_size') ?? MAX_READ_COUNT);
    const waitMs = Math.min(Number(query.get('wait_ms') ?? 0), MAX_WAIT_MS);
    const answer = () => {
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(partition.records.length), 0);
      const records = partition.records.slice(from, from + maxCount).map(encodeRecord);
      send(200, Buffer.concat([head, ...records]));
    };
    if (from < partition.records.length || waitMs === 0) {
      answer();
      return;
    }
    let timer;
    const wake = () => {
      partition.waiters.delete(wake);
      clearTimeout(timer);
      answer();
    };
    timer = setTimeout(wake, waitMs);
    partition.waiters.add(wake);
  }

  readNewest(query, send) {
    const partition = this.getPartition(query.get('topic'), query.get('part'));
    const after = query.get('after') ?? '';
    const keys = [...partition.newest.keys()].filter((key) => key > after).sort();
    const items = keys.slice(0, MAX_PAGE_COUNT).map((key) => {
      const { value, offset } = partition.newest.get(key);
      return { key, value: value.toString('base64'), offset };
    });
    send(200, { items, has_more: items.length < keys.length, end: partition.records.length });
  }

  getGroup(name) {
    if (!this.groups.has(name)) {
      this.groups.set(name, { generation: 0, members: new Map(), holders: new Map(), topics: [] });
    }
    return this.groups.get(name);
  }

  join({ group: name, member, topics, ttl_ms: ttlMs, generation = 0 }) {
    const group = this.getGroup(name);
    expire(group);
    Object.assign(group, { topics });
    if (!group.members.has(member)) group.generation += 1;
    group.members.set(member, { generation, untilMs: performance.now() + ttlMs });
    handOver(group);
    const parts = [...group.holders]
      .filter(([part, holder]) => holder === member && getWanted(group, part) === member)
      .map(([part]) => [topics[0], part, 0]);
    return { generation: group.generation, ttl_ms: ttlMs, parts };
  }

  leave({ group: name, member }) {
    const group = this.getGroup(name);
    if (group.members.has(member)) removeMember(group, member);
  }

  listOwners(name) {
    const group = this.getGroup(name);
    expire(group);
    return [...group.holders].map(([part, member]) => [group.topics[0], part, member, 0]);
  }
}
