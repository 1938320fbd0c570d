import type { Address } from "@ospreyreel/types";
import { InstanceLinks } from "./instance-links.js";

/** An instance with the addresses on which others reach it. */
export interface LinkedInstance {
    readonly name: string;
    readonly addresses: readonly Address[];
}

const getId = (name: string, { port }: Address): string => `${name}:${port}`;

/** Links between each two instances, which can be cut; those to and from all others go on. */
export class PeerLinks {
    /** Links of each instance, by the instance to which they lead. */
    private readonly links = new Map<string, Map<string, InstanceLinks>>();

    private constructor(private readonly instances: readonly LinkedInstance[]) {}

    /** Starts the links of all instances to each other; they pass resets on as such if asked for. */
    static async start(instances: readonly LinkedInstance[], passesResets = false): Promise<PeerLinks> {
        const peerLinks = new PeerLinks(instances);
        for (const { name } of instances) {
            const own = new Map<string, InstanceLinks>();
            peerLinks.links.set(name, own);
            for (const other of instances.filter(instance => instance.name !== name)) {
                const addresses = other.addresses.map(address => [getId(other.name, address), address] as const);
                own.set(other.name, await InstanceLinks.start(new Map(addresses), passesResets));
            }
        }
        return peerLinks;
    }

    /** Addresses of the proxies through which an instance reaches the others, by the addresses of these. */
    getRedirects(name: string): Readonly<Record<string, string>> {
        return Object.fromEntries(this.instances.flatMap(other => {
            const proxies = this.links.get(name)?.get(other.name)?.addresses;
            return other.addresses.flatMap(address => {
                const proxy = proxies?.get(getId(other.name, address));
                return proxy === undefined
                    ? []
                    : [[`${address.host}:${address.port}`, `${proxy.host}:${proxy.port}`]];
            });
        }));
    }

    /** Lets nothing through between two instances, in either direction; returns whether anything was let through before. */
    async cut(first: string, second: string): Promise<boolean> {
        const links = this.getBetween(first, second);
        if (links.some(({ isCut }) => isCut)) {
            return false;
        }
        await Promise.all(links.map(link => link.cut("hang")));
        return true;
    }

    /** Ends the cut between two instances; what the links held back goes on. */
    async restore(first: string, second: string): Promise<void> {
        await Promise.all(this.getBetween(first, second).map(link => link.restore()));
    }

    /** Ends everything that was started. */
    async close(): Promise<void> {
        await Promise.all([...this.links.values()].flatMap(own => [...own.values()].map(link => link.close())));
    }

    private getBetween(first: string, second: string): readonly InstanceLinks[] {
        return [this.links.get(first)?.get(second), this.links.get(second)?.get(first)]
            .filter(link => link !== undefined);
    }
}
