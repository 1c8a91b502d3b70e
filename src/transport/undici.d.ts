/** The package's main module loads fetch, WebSocket and more, which double the process's start-up time. */
declare module 'undici/lib/dispatcher/client.js' {
  import { Client } from 'undici';

  export default Client;
}
