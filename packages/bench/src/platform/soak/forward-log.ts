interface ForwardLine {
    readonly message?: unknown;
    readonly context?: { readonly request?: unknown; readonly peer?: unknown; };
}

/** Message of an instance's line that names the peer which sent a request for it. */
const FORWARDED = "send forwarded";

/** Which instances sent requests for others, from the lines that the instances write. */
export class ForwardLog {
    private readonly peers = new Map<string, Set<string>>();

    /** Reads a line of an instance. */
    read(line: string): void {
        // Most lines say something else.
        if (!line.includes(FORWARDED)) {
            return;
        }
        const { message, context: { request, peer } = {} } = JSON.parse(line) as ForwardLine;
        if (message === FORWARDED && typeof request === "string" && typeof peer === "string") {
            this.peers.set(request, (this.peers.get(request) ?? new Set()).add(peer));
        }
    }

    /** Instances that sent a request for another one. */
    getPeers(request: string): readonly string[] {
        return [...this.peers.get(request) ?? []];
    }
}
