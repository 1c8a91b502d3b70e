/** Runs a backend server stand-in: `backend.js PORT SLOTS`. */
import { BackendStandIn } from '../backends.js';

const server = new BackendStandIn({ slots: Number(process.argv[3]) });
const address = await server.listen(Number(process.argv[2]));
process.stdout.write(`backend server stand-in at ${address}\n`);
process.on('SIGINT', () => process.exit(0));
process.on('SIGTERM', () => process.exit(0));
