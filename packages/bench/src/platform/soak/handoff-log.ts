interface HandoffLine {
    readonly message?: unknown;
    readonly context?: { readonly helper?: unknown; };
}

/** Message of an instance's line that names the peer which serves its callers from then on. */
const HANDED_OFF = "connections handed off";

/** A peer that began to serve callers of an instance; the time is monotonic, in milliseconds. */
interface Handoff {
    readonly instance: string;
    readonly helper: string;
    readonly atMs: number;
}

/** Which instances served the callers of others, from the lines that the instances write. */
export class HandoffLog {
    private readonly handoffs: Handoff[] = [];

    /** Number of times that an instance began to hand connections off to a peer. */
    get count(): number {
        return this.handoffs.length;
    }

    /** Reads a line of an instance. */
    read(instance: string, line: string, atMs = performance.now()): void {
        // Most lines say something else.
        if (!line.includes(HANDED_OFF)) {
            return;
        }
        const { message, context: { helper } = {} } = JSON.parse(line) as HandoffLine;
        if (message === HANDED_OFF && typeof helper === "string") {
            this.handoffs.push({ instance, helper, atMs });
        }
    }

    /** The peer that began last to serve callers of an instance. */
    getHelper(instance: string): string | undefined {
        return this.handoffs.findLast(handoff => handoff.instance === instance)?.helper;
    }

    /** Peers that may have served callers of an instance until a time. */
    listHelpers(instance: string, untilMs: number): readonly string[] {
        return this.handoffs.filter(handoff => handoff.instance === instance && handoff.atMs <= untilMs)
            .map(({ helper }) => helper);
    }
}
