/** Parts of an HTTP answer that differ from those of a sound one. */
export interface OddForm {
  /** Status line of an answer that would have `status`. */
  readonly line?: (status: number) => string;
  /** Line in the head, or among the trailers, without its end. */
  readonly field?: string;
  /** Fields on the length, with the empty line and the body. */
  readonly framed?: (body: string) => string;
}

const hex = (body: string): string => body.length.toString(16);

/** Frames a body in one chunk. */
export const chunked = (body: string, last = '0\r\n\r\n'): string => (
  `Transfer-Encoding: chunked\r\n\r\n${hex(body)}\r\n${body}\r\n${last}`
);

const sized = (body: string, fields = `Content-Length: ${body.length}`): string => `${fields}\r\n\r\n${body}`;

const NAMED_BYTES = Array.from({ length: 33 }, (_, code) => code).concat(0x7f)
  .map((code) => [`0x${code.toString(16).padStart(2, '0')}`, String.fromCharCode(code)] as const);

const LINES = [
  'HTTP/1.1 000 OK', 'HTTP/1.1 001 OK', 'HTTP/1.1 020 OK', 'HTTP/1.1 099 OK', 'HTTP/1.1 600 OK', 'HTTP/1.1 700 OK', 'HTTP/1.1 999 OK',
  'HTTP/1.1 1000 OK', 'HTTP/1.1 0200 OK', 'HTTP/1.1 2000 OK', 'HTTP/1.1 20 OK', 'HTTP/1.1 2 OK', 'HTTP/1.1  OK', 'HTTP/1.1 2x0 OK',
  'HTTP/1.1 +200 OK', 'HTTP/1.1 -200 OK', 'HTTP/1.1 200OK', 'HTTP/1.1  200 OK', 'HTTP/1.1\t200 OK', 'HTTP/1.1 200\tOK', 'HTTP/1.1200 OK',
  'HTTP/0.9 200 OK', 'HTTP/1.2 200 OK', 'HTTP/2 200 OK', 'HTTP/2.0 200 OK', 'HTTP/3.0 200 OK', 'HTTP/11 200 OK', 'HTTP/1.10 200 OK',
  'HTTP/1 200 OK', 'HTTP 200 OK', 'HTTP/ 1.1 200 OK', 'http/1.1 200 OK', 'ICY 200 OK', 'RTSP/1.0 200 OK', ' HTTP/1.1 200 OK',
  'HTTP/1.1 200 O\u0000K', 'HTTP/1.1 200 O\u0001K', 'HTTP/1.1 200 O\u007fK', 'HTTP/1.1 200 O\rK', '200 OK',
];

const FIELDS: readonly (readonly [string, string])[] = [
  ...NAMED_BYTES.flatMap(([name, byte]) => [
    [`${name} inside a name`, `X-O${byte}dd: 1`], [`${name} before a name`, `${byte}X-Odd: 1`], [`${name} behind a name`, `X-Odd${byte}: 1`],
  ] as const),
  ...NAMED_BYTES.filter(([, byte]) => byte !== ' ' && byte !== '\t')
    .flatMap(([name, byte]) => [[`${name} in a value`, `X-Odd: a${byte}b`], [`${name} behind a value`, `X-Odd: a${byte}`]] as const),
  ...'"(),/;<=>?@[\\]{}\u0080\u00e4\u00ff'.split('').map((byte) => [`${JSON.stringify(byte)} in a name`, `X-O${byte}dd: 1`] as const),
  ['no name', ': 1'], ['no colon', 'X-Odd'], ['no colon, blanks', 'X Odd 1'],
  ['bare LF between two', 'X-Odd: 1\nX-More: 2'], ['bare CR between two', 'X-Odd: 1\rX-More: 2'], ['two CR', 'X-Odd: 1\r\r\nX-More: 2'],
  ['folded by a blank', 'X-Odd: a\r\n b'], ['folded by a tab', 'X-Odd: a\r\n\tb'], ['folded without a value', 'X-Odd:\r\n b'],
  ['folded name', 'X-Odd\r\n : b'], ['a line of blanks', 'X-Odd: a\r\n \r\nX-More: b'],
];

const FRAMED: readonly (readonly [string, (body: string) => string])[] = [
  ['blank behind Content-Length', (body) => sized(body, `Content-Length : ${body.length}`)],
  ['blank before Content-Length', (body) => sized(body, ` Content-Length: ${body.length}`)],
  ['tab behind Content-Length', (body) => sized(body, `Content-Length\t: ${body.length}`)],
  ['blank behind Transfer-Encoding', (body) => chunked(body).replace('Encoding:', 'Encoding :')],
  ['two lengths', (body) => sized(body, `Content-Length: ${body.length}\r\nContent-Length: ${body.length}`)],
  ['differing lengths', (body) => sized(body, `Content-Length: ${body.length}\r\nContent-Length: ${body.length + 1}`)],
  ['differing lengths, the first too large', (body) => sized(body, `Content-Length: ${body.length + 1}\r\nContent-Length: ${body.length}`)],
  ['a list of lengths', (body) => sized(body, `Content-Length: ${body.length}, ${body.length}`)],
  ['a length with a sign', (body) => sized(body, `Content-Length: +${body.length}`)],
  ['a negative length', (body) => sized(body, `Content-Length: -${body.length}`)],
  ['a length in hex', (body) => sized(body, `Content-Length: 0x${hex(body)}`)],
  ['a length with a letter', (body) => sized(body, `Content-Length: ${body.length}a`)],
  ['a length with a blank inside', (body) => sized(body, `Content-Length: ${body.length} 1`)],
  ['a length in two lines', (body) => sized(body, `Content-Length: ${String(body.length)[0]}\r\n ${String(body.length).slice(1)}`)],
  ['a length that is too large for a number', (body) => sized(body, 'Content-Length: 99999999999999999999999')],
  ['an empty length', (body) => sized(body, 'Content-Length: ')],
  ['a length before chunks', (body) => `Content-Length: ${body.length}\r\n${chunked(body)}`],
  ['a length behind chunks', (body) => chunked(body).replace('\r\n\r\n', `\r\nContent-Length: ${body.length}\r\n\r\n`)],
  ['another coding', (body) => `Transfer-Encoding: identity\r\nContent-Length: ${body.length}\r\n\r\n${body}`],
  ['chunks and then another coding', (body) => chunked(body).replace('chunked', 'chunked, gzip')],
  ['another coding and then chunks', (body) => chunked(body).replace('chunked', 'gzip, chunked')],
  ['another coding to the close', (body) => sized(body, 'Connection: close\r\nTransfer-Encoding: gzip')],
  ['two lines of codings', (body) => chunked(body).replace('chunked', 'chunked\r\nTransfer-Encoding: chunked')],
  ['chunks twice', (body) => chunked(body).replace('chunked', 'chunked, chunked')],
  ['a misspelled coding', (body) => chunked(body).replace('chunked', 'xchunked')],
  ['a coding in quotes', (body) => chunked(body).replace('chunked', '"chunked"')],
  ['a coding with a control byte', (body) => chunked(body).replace('chunked', '\u000bchunked')],
  ['a chunk with 0x', (body) => chunked(body).replace('\r\n\r\n', '\r\n\r\n0x')],
  ['a chunk with a sign', (body) => chunked(body).replace('\r\n\r\n', '\r\n\r\n+')],
  ['a chunk with a blank before its size', (body) => chunked(body).replace('\r\n\r\n', '\r\n\r\n ')],
  ['a chunk with a blank behind its size', (body) => chunked(body).replace(`\r\n\r\n${hex(body)}`, `\r\n\r\n${hex(body)} `)],
  ['a chunk with a letter', (body) => chunked(body).replace('\r\n\r\n', '\r\n\r\ng')],
  ['a chunk that is too short', (body) => chunked(body).replace(`\r\n\r\n${hex(body)}`, '\r\n\r\n1')],
  ['a chunk that ends with LF', (body) => chunked(body).replace(`\r\n\r\n${hex(body)}\r\n`, `\r\n\r\n${hex(body)}\n`)],
  ['a chunk whose data end with LF', (body) => chunked(body).replace(`${body}\r\n`, `${body}\n`)],
  ['a chunk with a size of 20 digits', (body) => chunked(body).replace('\r\n\r\n', '\r\n\r\n1000000000000000')],
  ['a chunk without size', (body) => chunked(body).replace(`\r\n\r\n${hex(body)}`, '\r\n\r\n')],
  ['a chunk extension with a control byte', (body) => chunked(body).replace(`\r\n\r\n${hex(body)}`, `\r\n\r\n${hex(body)};a=\u0001`)],
  ['a chunk extension with LF', (body) => chunked(body).replace(`\r\n\r\n${hex(body)}`, `\r\n\r\n${hex(body)};a\n`)],
  ['lines that end with LF', (body) => sized(body).replaceAll('\r\n', '\n')],
  ['lines that end with CR', (body) => sized(body).replaceAll('\r\n', '\r')],
  ['an empty line of LF', (body) => `Content-Length: ${body.length}\r\n\n${body}`],
  ['an empty line of CR', (body) => `Content-Length: ${body.length}\r\n\r${body}`],
];

/** Forms of answers that HTTP/1.1 forbids, or that readers may understand in several ways, by name. */
export const ODD_FORMS: ReadonlyMap<string, OddForm> = new Map<string, OddForm>([
  ...LINES.map((line) => [JSON.stringify(line), { line: (status: number) => line.replace('200', String(status)) }] as const),
  ...FIELDS.map(([name, field]) => [name, { field }] as const),
  ...FIELDS.map(([name, field]) => [
    `${name}, first`, { line: (status: number) => `HTTP/1.1 ${status} OK\r\n${field}` },
  ] as const),
  ...FIELDS.map(([name, field]) => [
    `${name}, as a trailer`, { framed: (body: string) => chunked(body, `0\r\n${field}\r\n\r\n`) },
  ] as const),
  ...FRAMED.map(([name, framed]) => [name, { framed }] as const),
]);

/** Unusual forms that HTTP/1.1 allows. */
export const UNUSUAL_FORMS: ReadonlyMap<string, OddForm> = new Map<string, OddForm>([
  ...['HTTP/1.0 200 OK', 'HTTP/1.1 200 ', 'HTTP/1.1 200', 'HTTP/1.1 299 Odd', 'HTTP/1.1 404 O\tK', 'HTTP/1.1 599 \u00e4']
    .map((line) => [JSON.stringify(line), { line: () => line }] as const),
  ...['X-Odd:', 'X-Odd: \u00e4', 'X-Odd:\ta\tb\t', 'X-!#$%&\'*+.^_`|~: 1', '__proto__: 1', 'Constructor: 1', 'X-Odd: 1\r\nX-Odd: 2']
    .map((field) => [JSON.stringify(field), { field }] as const),
  ['a coding in capitals', { framed: (body) => chunked(body).replace('chunked', 'CHUNKED') }],
  ['a chunk extension', { framed: (body) => chunked(body).replace(`\r\n\r\n${hex(body)}`, `\r\n\r\n0${hex(body)};a=b`) }],
  ['a trailer', { framed: (body) => chunked(body, '0\r\nX-Odd: 1\r\n\r\n') }],
  ['an interim answer', { line: () => 'HTTP/1.1 103 Early Hints\r\nX-Odd: 1\r\n\r\nHTTP/1.1 200 OK' }],
]);

const SAMPLE: ReadonlySet<string> = new Set([
  '"HTTP/1.1 000 OK"', '"HTTP/1.1 099 OK"', '"HTTP/1.1 600 OK"', '"HTTP/1.1 999 OK"', '"HTTP/1.1 1000 OK"', '"HTTP/1.1 200 O\\u0001K"',
  '0x20 inside a name', '0x20 behind a name', '0x01 inside a name', '0x00 behind a name, first', '0x20 inside a name, as a trailer',
  'blank behind Content-Length', 'another coding and then chunks', 'chunks twice', 'differing lengths', 'a length behind chunks',
]);

/** One or two forms of each kind. */
export const SAMPLE_FORMS: ReadonlyMap<string, OddForm> = new Map([...ODD_FORMS].filter(([name]) => SAMPLE.has(name)));

/** Writes an answer in an odd form; a sound one with an empty form. */
export function writeOdd(form: OddForm, status: number, fields: string, body: string): Buffer {
  const { line, field, framed = sized } = form;
  const start = line === undefined ? `HTTP/1.1 ${status} OK` : line(status);
  return Buffer.from(`${start}\r\n${fields}${field === undefined ? '' : `${field}\r\n`}${framed(body)}`, 'latin1');
}
