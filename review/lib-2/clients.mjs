// Client of a gateway on one connection, which can read its answer at a steady pace and tells how it ended.
import { Buffer } from 'node:buffer';
import { readFileSync } from 'node:fs';
import { connect } from 'node:net';
import { clearInterval, setInterval } from 'node:timers';

const PERIOD_MS = 10;

/** Periods that a reader makes up for when its timer is late. */
const MAX_LATE_PERIODS = 4;

const HEAD_END = '\r\n\r\n';

function parseHead(bytes) {
  const end = bytes.indexOf(HEAD_END);
  if (end === -1) return null;
  const [first, ...lines] = bytes.subarray(0, end).toString('latin1').split('\r\n');
  const headers = Object.fromEntries(lines.map((line) => {
    const colon = line.indexOf(':');
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }));
  return { status: Number(first.split(' ')[1]), headers, bodyAt: end + HEAD_END.length };
}

/** State of a connection in the kernel's table whose other side has closed it in the ordinary way. */
const CLOSE_WAIT = '08';

/**
 * Whether the other side has closed a connection in the ordinary way. Node.js reports the end of the data also for a
 * connection that was reset right behind them, so the kernel's table decides; a reset connection is not in it.
 */
function wasClosed({ localPort }) {
  const port = localPort.toString(16).toUpperCase().padStart(4, '0');
  return readFileSync('/proc/self/net/tcp', 'utf8').split('\n').some((line) => {
    const [, local, , state] = line.trim().split(/\s+/);
    return local?.endsWith(`:${port}`) === true && state === CLOSE_WAIT;
  });
}

/** Text of a request without a body. */
export function requestText({
  host, path, id, deadlineMs, method = 'GET', headers = {},
}) {
  const lines = Object.entries({
    host, 'catkinscale-request-id': id, 'catkinscale-deadline-ms': deadlineMs, ...headers,
  }).map(([name, value]) => `${name}: ${value}`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join('\r\n')}${HEAD_END}`;
}

/** Reads at most `bytesPerS`, a little in each period. */
function readSteadily(socket, bytesPerS, take) {
  const perPeriod = (bytesPerS * PERIOD_MS) / 1_000;
  let due = 0;
  socket.pause();
  return setInterval(() => {
    due = Math.min(due + perPeriod, MAX_LATE_PERIODS * perPeriod);
    while (due >= 1) {
      const chunk = socket.read(Math.min(Math.floor(due), socket.readableLength));
      if (chunk === null || chunk.length === 0) {
        socket.read(0);
        return;
      }
      due -= chunk.length;
      take(chunk);
    }
  }, PERIOD_MS);
}

/**
 * Sends one request and reads its answer. Resolves with the head, the number of body bytes, and how the connection
 * ended: `complete` where the stated length was reached, else `closed` or `reset`.
 */
export function call(address, text, { bytesPerS = Infinity } = {}) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const startedAt = Date.now();
    const socket = connect({
      host, port: Number(port), noDelay: true, allowHalfOpen: true,
    });
    let start = Buffer.alloc(0);
    let head = null;
    let size = 0;
    let timer = null;
    let settled = false;
    const finish = (end) => {
      if (settled) return;
      settled = true;
      clearInterval(timer);
      socket.destroy();
      resolve({
        end,
        status: head?.status ?? 0,
        headers: head?.headers ?? {},
        bytes: head === null ? 0 : size - head.bodyAt,
        tookMs: Date.now() - startedAt,
      });
    };
    const take = (chunk) => {
      size += chunk.length;
      if (head === null) {
        start = Buffer.concat([start, chunk]);
        head = parseHead(start);
      }
      const length = Number(head?.headers['content-length'] ?? NaN);
      if (head !== null && size - head.bodyAt >= length) finish('complete');
    };
    socket.on('connect', () => socket.write(text));
    socket.on('end', () => finish(wasClosed(socket) ? 'closed' : 'reset'));
    socket.on('error', () => finish('reset'));
    if (bytesPerS === Infinity) socket.on('data', take);
    else timer = readSteadily(socket, bytesPerS, take);
  });
}

/** Whether a client must take an answer for a whole success: nothing but a reset would tell it otherwise. */
export function looksComplete({ status, headers, end }) {
  const isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  const isEnded = isFramed ? end === 'complete' : end === 'closed';
  return status >= 200 && status < 300 && headers['catkinscale-server-signature'] !== undefined && isEnded;
}

/** Client that sends one request after another on a connection that it keeps. */
export class KeptClient {
  constructor(address) {
    const [host, port] = address.split(':');
    this.socket = connect({ host, port: Number(port), noDelay: true });
    this.bytes = Buffer.alloc(0);
    this.finish = () => {};
    this.socket.on('data', (chunk) => {
      this.bytes = Buffer.concat([this.bytes, chunk]);
      const head = parseHead(this.bytes);
      if (head === null || this.bytes.length < head.bodyAt + Number(head.headers['content-length'])) return;
      this.bytes = Buffer.alloc(0);
      this.finish({ status: head.status, end: 'complete' });
    });
    for (const event of ['end', 'close', 'error']) this.socket.on(event, () => this.finish({ status: 0, end: event }));
  }

  /** Sends a request; resolves with the status of its answer, 0 where the connection ended without one. */
  send(text) {
    return new Promise((resolve) => {
      this.finish = resolve;
      if (this.socket.destroyed) resolve({ status: 0, end: 'close' });
      else this.socket.write(text);
    });
  }
}
