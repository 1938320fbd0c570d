import type { Address } from "@ospreyreel/types";
import type { Link } from "./link.js";

/** The open links of one hub. */
export class LinkTable {
    private readonly links = new Set<Link>();

    /** Number of open links, draining ones included. */
    get size(): number {
        return this.getLinks().filter(link => link.isOpen).length;
    }

    /** Adds a link. */
    add(link: Link): void {
        this.links.add(link);
    }

    /** Removes a link. */
    remove(link: Link): void {
        this.links.delete(link);
    }

    /** Destroys all links to an incarnation. */
    destroyLinksTo(incarnation: string, reason: string): void {
        this.getLinksTo(incarnation).forEach(link => link.destroy(reason));
    }

    /** Returns all links, oldest first. */
    getLinks(): readonly Link[] {
        return [...this.links];
    }

    /** Returns the links to an incarnation, oldest first. */
    getLinksTo(incarnation: string): readonly Link[] {
        return this.getLinks().filter(link => link.remote.info.incarnation === incarnation);
    }

    /** Returns the oldest link to an incarnation that accepts requests. */
    findUsableLink(incarnation: string): Link | undefined {
        return this.getLinksTo(incarnation).find(link => link.isUsable);
    }

    /** Whether a link leads to the instance that listens on an address. */
    hasLinkTo(address: Address): boolean {
        return this.getLinks().some(({ remote: { info: { peer } } }) =>
            peer.port === address.port && peer.host === address.host
        );
    }

    /**
     * Returns the links to an incarnation that this side must drain. Both sides prefer links dialled by the
     * incarnation that sorts first, and only the side that dialled a link drains it, so that one link always stays.
     */
    getRedundantLinks(incarnation: string, self: string): readonly Link[] {
        const usable = this.getLinksTo(incarnation).filter(link => link.isUsable);
        const preferDialled = self < incarnation;
        const kept = usable.find(link => link.dialled === preferDialled) ?? usable[0];
        return usable.filter(link => link !== kept && link.dialled);
    }
}
