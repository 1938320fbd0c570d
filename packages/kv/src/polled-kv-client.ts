import type { KvChangeReader } from "./kv-change-reader.js";
import { KvClient } from "./kv-client.js";

/** Client of a key-value service that has to be polled for changes, since it does not push them. */
export abstract class PolledKvClient extends KvClient {
    /** Polls the service for changes. */
    abstract readonly changes: KvChangeReader;
}
