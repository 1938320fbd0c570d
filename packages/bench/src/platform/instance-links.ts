import { type FaultProxy, startFaultProxy } from "@ospreyreel/stand-ins";
import type { Address } from "@ospreyreel/types";
import { connect, type Socket } from "node:net";
import { fileURLToPath } from "node:url";
import { RigProcess } from "../rig/rig-process.js";

/** How an instance loses its links. */
export type LinkCut =
    /** Nothing gets through and nothing is answered, new connections included. */
    | "hang"
    /** Open connections are reset, and new ones are refused. */
    | "reset"
    /** New connections are refused; open ones go on. */
    | "refuse";

const READY_TIMEOUT_MS = 10_000;

/** Connections that fill the backlog of a port on which nothing is accepted. */
const FILLING_CONNECTIONS = 3;

const UNACCEPTING = fileURLToPath(new URL("unaccepting-main.js", import.meta.url));

/** Links of one instance to targets or other instances, which can be cut. */
export class InstanceLinks {
    private readonly links = new Map<string, FaultProxy>();
    private unaccepting: RigProcess | undefined;
    private readonly filling: Socket[] = [];

    /** Whether the links are cut. */
    isCut = false;

    /** Starts links to what listens on the addresses, by id; they pass resets on as such if asked for. */
    static async start(addresses: ReadonlyMap<string, Address>, passesResets = false): Promise<InstanceLinks> {
        const links = new InstanceLinks();
        for (const [id, target] of addresses) {
            links.links.set(id, await startFaultProxy({ target, passesResets }));
        }
        return links;
    }

    /** Where the instance connects to for each id. */
    get addresses(): ReadonlyMap<string, Address> {
        return new Map([...this.links].map(([id, { address }]) => [id, address]));
    }

    /** Returns a target's entry with the address of this instance's link to it. */
    rewrite(key: string, value: string): string {
        const link = this.links.get(key.replace(/^servers\//, ""));
        if (link === undefined || !key.startsWith("servers/")) {
            return value;
        }
        const entry = JSON.parse(Buffer.from(value, "base64").toString()) as { readonly address: string; };
        const [host = "", port = ""] = entry.address.split(":");
        if (link.redirect({ host, port: Number(port) })) {
            void link.setTargetDown(false, !this.isCut);
        }
        const { address } = link;
        return Buffer.from(JSON.stringify({ ...entry, address: `${address.host}:${address.port}` })).toString("base64");
    }

    /** Refuses new connections to an id until its entry names another address. */
    async setTargetDown(id: string): Promise<void> {
        await this.links.get(id)?.setTargetDown(true);
    }

    /** Has the link to an id lead to another id. */
    rename(id: string, newId: string): void {
        const link = this.links.get(id);
        if (link !== undefined) {
            this.links.delete(id);
            this.links.set(newId, link);
        }
    }

    /** Cuts some links by id, or all. */
    async cut(how: LinkCut, ids: readonly string[] = [...this.links.keys()]): Promise<void> {
        this.isCut = true;
        const links = ids.map(id => this.links.get(id)).filter(link => link !== undefined);
        switch (how) {
            case "hang":
                links.forEach(link => link.refuseNew());
                await Promise.all(links.map(link => link.setFaults({ mode: "stall" }, false)));
                await this.ignoreConnections(links.map(({ address }) => address.port));
                break;
            case "reset":
                await Promise.all(links.map(link => link.setFaults({ mode: "cut" })));
                break;
            case "refuse":
                links.forEach(link => link.refuseNew());
        }
    }

    /** Ends the cut; what a link held back goes on. */
    async restore(): Promise<void> {
        this.isCut = false;
        this.filling.splice(0).forEach(socket => socket.destroy());
        this.unaccepting?.kill("SIGKILL");
        await this.unaccepting?.exited;
        this.unaccepting = undefined;
        await Promise.all([...this.links.values()].map(link => link.setFaults({ mode: "pass" })));
    }

    /** Ends everything that was started. */
    async close(): Promise<void> {
        await this.restore();
        await Promise.all([...this.links.values()].map(link => link.close()));
    }

    private async ignoreConnections(ports: readonly number[]): Promise<void> {
        const started = new RigProcess({ script: UNACCEPTING, args: ports.map(String) });
        this.unaccepting = started;
        await started.awaitReady(READY_TIMEOUT_MS);
        started.kill("SIGSTOP");
        for (const port of ports) {
            for (let count = 0; count < FILLING_CONNECTIONS; count++) {
                const socket = connect(port, "127.0.0.1");
                socket.on("error", () => undefined);
                this.filling.push(socket);
            }
        }
    }
}
