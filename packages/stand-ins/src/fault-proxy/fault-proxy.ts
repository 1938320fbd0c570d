import type { Address } from "@ospreyreel/types";
import { createServer as createHttpServer, type IncomingMessage, type ServerResponse } from "node:http";
import { createServer, type Socket } from "node:net";
import { readJson, writeJson } from "../common/json-body.js";
import { Listener } from "../common/listener.js";
import { ProxyConnection } from "./proxy-connection.js";
import { FaultSwitch, type ProxyFaults } from "./proxy-faults.js";

/** Where a proxy listens and what it stands before. */
export interface FaultProxyOptions {
    readonly target: Address;
    /** 0, a free one, by default. */
    readonly port?: number;
    /** Faults from the start on. */
    readonly faults?: Partial<ProxyFaults>;
    /** Serves `/stand-in/faults` on a second port; false by default. */
    readonly withControl?: boolean;
    /** Resets a connection whose other side was reset, that lost bytes or that the proxy cuts; without it these end in order. False by default. */
    readonly passesResets?: boolean;
}

/** A TCP proxy that injects faults. */
export class FaultProxy {
    private target: Address;
    private readonly passesResets: boolean;
    private readonly faultSwitch = new FaultSwitch();
    private readonly connections = new Set<ProxyConnection>();
    /** The last connection from each port of clients. */
    private readonly byClientPort = new Map<number, ProxyConnection>();
    private readonly main: Listener;
    private readonly control = new Listener(createHttpServer((req, res) => void this.serveControl(req, res)));
    private mainAddress: Address = { host: "127.0.0.1", port: 0 };
    private controlAddress: Address | undefined;
    private isTargetDown = false;

    constructor({ target, passesResets = false }: Pick<FaultProxyOptions, "target" | "passesResets">) {
        this.target = target;
        this.passesResets = passesResets;
        const options = { allowHalfOpen: true, noDelay: true, pauseOnConnect: true };
        this.main = new Listener(createServer(options, socket => void this.carry(socket)));
    }

    /** Where clients connect. */
    get address(): Address {
        return this.mainAddress;
    }

    /** Where faults are set, if asked for. */
    get controlAt(): Address | undefined {
        return this.controlAddress;
    }

    /** Faults in force. */
    get faults(): ProxyFaults {
        return this.faultSwitch.current;
    }

    /** Connections that the proxy holds. */
    get openConnections(): number {
        return this.connections.size;
    }

    /** Whether the target has accepted the last connection from a client's port; the proxy itself accepts all. */
    hasReachedTarget(clientPort: number): boolean {
        return this.byClientPort.get(clientPort)?.hasReachedTarget === true;
    }

    /** Starts to listen. */
    async open(port: number, withControl: boolean): Promise<void> {
        this.mainAddress = await this.main.open(port);
        if (withControl) {
            this.controlAddress = await this.control.open();
        }
    }

    /** Carries new connections to an address; returns whether that is another one than before. */
    redirect(target: Address): boolean {
        const { host, port } = this.target;
        this.target = target;
        return target.host !== host || target.port !== port;
    }

    /** Refuses new connections until the faults are set again; open ones go on. */
    refuseNew(): void {
        this.main.refuse();
    }

    /** Refuses new connections while the target's process is gone, whatever the faults are. */
    async setTargetDown(isDown: boolean, takesNew = true): Promise<void> {
        this.isTargetDown = isDown;
        if (isDown) {
            this.main.refuse();
            return;
        }
        await this.setFaults({}, takesNew);
    }

    /** Changes the named faults and leaves the others; new connections are taken again unless they are cut or refused. */
    async setFaults(change: Partial<ProxyFaults>, takesNew = true): Promise<void> {
        this.faultSwitch.set({ ...this.faultSwitch.current, ...change });
        if (this.faults.mode === "cut") {
            await this.closeMain();
        }
        else if (takesNew && !this.isTargetDown) {
            await this.main.open();
        }
    }

    /** Stops listening and destroys all connections. */
    async close(): Promise<void> {
        await Promise.all([this.closeMain(), this.control.close()]);
    }

    private async closeMain(): Promise<void> {
        this.connections.forEach(connection => connection.destroy());
        await this.main.close();
    }

    private async carry(socket: Socket): Promise<void> {
        const { target, faultSwitch: faults, passesResets } = this;
        const connection = new ProxyConnection({ client: socket, target, faults, passesResets });
        this.connections.add(connection);
        this.byClientPort.set(socket.remotePort ?? 0, connection);
        await connection.run();
        this.connections.delete(connection);
    }

    private async serveControl(req: IncomingMessage, res: ServerResponse): Promise<void> {
        if (req.url !== "/stand-in/faults") {
            writeJson(res, 404, {});
            return;
        }
        await this.setFaults(await readJson(req) as Partial<ProxyFaults>);
        writeJson(res, 200, this.faults);
    }
}

/** Starts a fault-injecting proxy in this process. */
export const startFaultProxy = async (opts: FaultProxyOptions): Promise<FaultProxy> => {
    const proxy = new FaultProxy(opts);
    await proxy.open(opts.port ?? 0, opts.withControl ?? false);
    await proxy.setFaults(opts.faults ?? {});
    return proxy;
};
