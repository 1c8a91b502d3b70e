/** Runs the platform stand-in: `platform.js PORT`. */
import { PlatformStandIn } from '../platforms.js';

const url = await new PlatformStandIn().listen(Number(process.argv[2]));
process.stdout.write(`platform stand-in at ${url}\n`);
process.on('SIGINT', () => process.exit(0));
process.on('SIGTERM', () => process.exit(0));
