const OK = 'HTTP/1.1 200 OK\r\n';

/** Head of a successful answer to the call with this id, without its last line. */
export function signedHead(id: string): string {
  return `${OK}Catkinscale-Request-Id: ${id}\r\nCatkinscale-Server-Signature: s1\r\n`;
}

/** Answers without end: where the bytes are, the start of the answer to a call, and what is repeated after it. */
export const ENDLESS_ANSWERS: readonly (readonly [string, (id: string) => string, string])[] = [
  ['before the status line', () => '', '\r\n'],
  ['in its status line', () => 'HTTP/1.1 200 ', 'x'],
  ['in one header', () => `${OK}X-Long: `, 'x'],
  ['in headers', () => OK, 'X-More: and more\r\n'],
  ['in interim answers', () => '', 'HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n'],
  ['that are not HTTP', () => '', '\u0000\u0001'],
  ['in a body without length', (id) => `${signedHead(id)}\r\n`, 'x'],
  ['in chunks of one byte', (id) => `${signedHead(id)}Transfer-Encoding: chunked\r\n\r\n`, '1\r\nx\r\n'],
  ['in the size of a chunk', (id) => `${signedHead(id)}Transfer-Encoding: chunked\r\n\r\n`, '0'],
  ['in the extension of a chunk', (id) => `${signedHead(id)}Transfer-Encoding: chunked\r\n\r\n1;`, 'x'],
  ['in trailers', (id) => `${signedHead(id)}Transfer-Encoding: chunked\r\n\r\n0\r\n`, 'X-More: and more\r\n'],
  ['in one event', (id) => `${signedHead(id)}Content-Type: text/event-stream\r\n\r\n`, 'data: x\n'],
  ['in one event in chunks', (id) => (
    `${signedHead(id)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n`
  ), 'x'],
  ['in events in chunks of one byte', (id) => (
    `${signedHead(id)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`
  ), '1\r\n:\r\n1\r\n\n\r\n1\r\n\n\r\n'],
  ['after a refusal', (id) => (
    `HTTP/1.1 503 No\r\nCatkinscale-Not-Executed: 1\r\nCatkinscale-Request-Id: ${id}\r\nContent-Length: 99999999999\r\n\r\n`
  ), 'x'],
  ['after a whole answer', (id) => `${signedHead(id)}Content-Length: 4\r\n\r\ndone`, 'x'],
];
