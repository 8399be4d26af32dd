import type { AddressInfo, Server } from 'node:net';

/** Listens on a free loopback port and returns `<IP>:<port>`. */
export async function listenOnFreePort(server: Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { address, port } = server.address() as AddressInfo;
  return `${address}:${port}`;
}
