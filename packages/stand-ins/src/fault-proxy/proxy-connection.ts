import type { Address } from "@ospreyreel/types";
import { once } from "node:events";
import { createConnection, type Socket } from "node:net";
import type { Direction, FaultSwitch, ProxyMode } from "./proxy-faults.js";
import { ProxyPipe } from "./proxy-pipe.js";

/** Modes in which the target hears nothing of a new connection. */
const UNREACHABLE_MODES: readonly ProxyMode[] = ["stall", "halfOpen"];

/** Modes in which neither side hears that the other has failed. */
const SILENT_MODES: readonly ProxyMode[] = ["stall", "halfOpen", "dropClientToServer", "dropServerToClient"];

/** Options of a {@link ProxyConnection}. */
export interface ProxyConnectionOptions {
    readonly client: Socket;
    readonly target: Address;
    readonly faults: FaultSwitch;
    readonly passesResets: boolean;
}

/** One client's connection through a proxy. */
export class ProxyConnection {
    private readonly client: Socket;
    private readonly target: Address;
    private readonly faults: FaultSwitch;
    private readonly passesResets: boolean;
    private readonly ended = new AbortController();
    private server: Socket | undefined;
    private isConnected = false;
    /** Whether both directions have ended in order. */
    private hasEnded = false;

    constructor({ client, target, faults, passesResets }: ProxyConnectionOptions) {
        this.client = client;
        this.target = target;
        this.faults = faults;
        this.passesResets = passesResets;
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
            this.hasEnded = true;
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
        for (const socket of [this.client, this.server]) {
            // Node.js leaves a socket open that is reset while its end is being sent.
            if (this.passesResets && !this.hasEnded && socket?.writableEnded === false) {
                socket?.resetAndDestroy();
            }
            else {
                socket?.destroy();
            }
        }
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
        const { faults, passesResets, ended } = this;
        return new ProxyPipe({ direction, from, to, faults, passesResets, signal: ended.signal }).run();
    }
}
