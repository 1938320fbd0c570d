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
    private readonly links = new Map<string, InstanceLinks>();

    private constructor(private readonly instances: readonly LinkedInstance[]) {}

    /** Starts the links of all instances to each other. */
    static async start(instances: readonly LinkedInstance[]): Promise<PeerLinks> {
        const peerLinks = new PeerLinks(instances);
        for (const { name } of instances) {
            const others = instances.filter(other => other.name !== name);
            const addresses = others.flatMap(other =>
                other.addresses.map(address => [getId(other.name, address), address] as const)
            );
            peerLinks.links.set(name, await InstanceLinks.start(new Map(addresses)));
        }
        return peerLinks;
    }

    /** Addresses of the proxies through which an instance reaches the others, by the addresses of these. */
    getRedirects(name: string): Readonly<Record<string, string>> {
        const proxies = this.links.get(name)?.addresses;
        return Object.fromEntries(this.instances.flatMap(other =>
            other.addresses.flatMap(address => {
                const proxy = proxies?.get(getId(other.name, address));
                return proxy === undefined
                    ? []
                    : [[`${address.host}:${address.port}`, `${proxy.host}:${proxy.port}`]];
            })
        ));
    }

    /** Lets nothing through between two instances, in either direction. */
    async cut(first: string, second: string): Promise<void> {
        await Promise.all([
            this.links.get(first)?.cut("hang", this.getIds(second)),
            this.links.get(second)?.cut("hang", this.getIds(first)),
        ]);
    }

    /** Ends the cuts of some instances, or all; what the links held back goes on. */
    async restore(names: readonly string[] = [...this.links.keys()]): Promise<void> {
        await Promise.all(names.map(async name => await this.links.get(name)?.restore()));
    }

    /** Ends everything that was started. */
    async close(): Promise<void> {
        await Promise.all([...this.links.values()].map(links => links.close()));
    }

    private getIds(name: string): readonly string[] {
        return this.instances.filter(instance => instance.name === name)
            .flatMap(({ addresses }) => addresses.map(address => getId(name, address)));
    }
}
