/** A backend server, as a process of its own, that responds without end: `endless FORM`. Prints its port. */
import net from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { ENDLESS_FORMS, writeEndlessly } from '../endlessresponses.js';

const form = ENDLESS_FORMS[process.argv[2] ?? ''];
if (form === undefined)
  throw new Error(`unknown form; known: ${Object.keys(ENDLESS_FORMS).join(' ')}`);

function respond(socket: Socket, requestId: string): void {
  if (form === undefined) return;
  socket.write(form.head.replaceAll('ID', requestId));
  writeEndlessly(socket, form.repeated);
}

const server = net.createServer((socket) => {
  socket.on('error', () => undefined);
  if (form.unasked === true) respond(socket, 'none');
  else {
    socket.once('data', (bytes) => {
      respond(socket, /^request-id: *(\S+)/im.exec(bytes.toString())?.[1] ?? 'none');
    });
  }
});
server.listen(0, '127.0.0.1', () => {
  console.log((server.address() as AddressInfo).port);
});
