/**
 * Picks the peers to which an instance pushes a new document: on the ring of all instances sorted by id, those at
 * distances 1, 2, 4, 8 and so on. Each instance sends to few peers, and the document reaches all within few hops.
 */
export const getPushPeers = (self: string, peers: readonly string[]): readonly string[] => {
    const ring = [...new Set([self, ...peers])].sort();
    const start = ring.indexOf(self);
    const picked: string[] = [];
    for (let distance = 1; distance < ring.length; distance *= 2) {
        const peer = ring[(start + distance) % ring.length];
        if (peer !== undefined) {
            picked.push(peer);
        }
    }
    return picked;
};
