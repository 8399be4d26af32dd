// Replica in trouble, in a process of its own. Argument: its IP address. Prints its port, then the id of each request.
// Each answer has a sound head and a body of chunks of one byte that does not end until its caller closes.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:net';
import process from 'node:process';
import { setImmediate } from 'node:timers';

const CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(1_000));

const HEAD_END = '\r\n\r\n';

function writeWithoutEnd(socket) {
  if (socket.destroyed) return;
  if (socket.write(CHUNKS)) setImmediate(writeWithoutEnd, socket);
  else socket.once('drain', () => writeWithoutEnd(socket));
}

const server = createServer((socket) => {
  let head = '';
  socket.on('error', () => {});
  socket.on('data', (bytes) => {
    if (head.includes(HEAD_END)) return;
    head += bytes.toString('latin1');
    if (!head.includes(HEAD_END)) return;
    const [, id] = /^catkinscale-request-id: (\S+)/im.exec(head);
    process.stdout.write(`${id}\n`);
    socket.write(`HTTP/1.1 200 OK\r\nCatkinscale-Request-Id: ${id}\r\nCatkinscale-Server-Signature: s.${id}\r\n`
      + 'Transfer-Encoding: chunked\r\n\r\n');
    writeWithoutEnd(socket);
  });
});
server.listen(0, process.argv[2], () => process.stdout.write(`${server.address().port}\n`));
