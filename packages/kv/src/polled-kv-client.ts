import type { KvChangeReader } from "./kv-change-reader.js";
import { KvClient } from "./kv-client.js";

/** Client of a key-value service whose changes are asked for; it does not send them by itself. */
export abstract class PolledKvClient extends KvClient {
    /** Reads changes call by call. */
    abstract readonly changes: KvChangeReader;
}
