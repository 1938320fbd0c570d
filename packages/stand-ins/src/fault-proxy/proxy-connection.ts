import type { Address } from "@ospreyreel/types";
import { once } from "node:events";
import { createConnection, type Socket } from "node:net";
import type { Direction, FaultSwitch, ProxyMode } from "./proxy-faults.js";
import { ProxyPipe } from "./proxy-pipe.js";

/** Modes in which the target hears nothing of a new connection. */
const UNREACHABLE_MODES: readonly ProxyMode[] = ["stall", "halfOpen"];

/** Modes in which neither side hears that the other has failed. */
const SILENT_MODES: readonly ProxyMode[] = ["stall", "halfOpen", "dropClientToServer", "dropServerToClient"];

/** One client's connection through a proxy. */
export class ProxyConnection {
    private readonly client: Socket;
    private readonly target: Address;
    private readonly faults: FaultSwitch;
    private readonly ended = new AbortController();
    private server: Socket | undefined;
    private isConnected = false;

    constructor(client: Socket, target: Address, faults: FaultSwitch) {
        this.client = client;
        this.target = target;
        this.faults = faults;
    }

    /** Carries the connection until both sides have closed. */
    async run(): Promise<void> {
        try {
            await this.faults.untilNot(UNREACHABLE_MODES, this.ended.signal);
            const server = await this.connect();
            await Promise.all([
                this.pipe("clientToServer", this.client, server),
                this.pipe("serverToClient", server, this.client),
            ]);
        }
        catch {
            await this.faults.untilNot(SILENT_MODES, this.ended.signal).catch(() => undefined);
        }
        finally {
            this.destroy();
        }
    }

    /** Whether the target has accepted the connection. */
    get hasReachedTarget(): boolean {
        return this.isConnected;
    }

    /** Destroys both sides at once. */
    destroy(): void {
        this.ended.abort();
        this.client.destroy();
        this.server?.destroy();
    }

    private async connect(): Promise<Socket> {
        const { host, port } = this.target;
        const server = createConnection({ host, port, allowHalfOpen: true, noDelay: true });
        this.server = server;
        // Failures are seen by whoever waits for the socket at the time; unheard ones must not end the process.
        server.on("error", () => undefined);
        await once(server, "connect", { signal: this.ended.signal });
        this.isConnected = true;
        return server;
    }

    private pipe(direction: Direction, from: Socket, to: Socket): Promise<void> {
        return new ProxyPipe({ direction, from, to, faults: this.faults, signal: this.ended.signal }).run();
    }
}
