import { StatsD } from "hot-shots";

/** Destination of the counters; without a host they are only held for the state dump. */
export interface CountersOptions {
    readonly host?: string;
    readonly port?: number;
    readonly prefix?: string;
    readonly globalTags?: Readonly<Record<string, string>>;
}

const DEFAULT_STATSD_PORT = 8125;

/** Counters and gauges of one process, sent to StatsD and included in the state dump. */
export class Counters {
    private readonly totals = new Map<string, number>();
    private readonly gauges = new Map<string, number>();
    private readonly client: StatsD | undefined;

    constructor(opts: CountersOptions = {}) {
        if (opts.host !== undefined) {
            this.client = new StatsD({
                host: opts.host,
                port: opts.port ?? DEFAULT_STATSD_PORT,
                prefix: opts.prefix ?? "ospreyreel.",
                globalTags: { ...opts.globalTags },
                errorHandler: () => this.add("statsd_errors"),
            });
        }
    }

    /** Adds to a counter. */
    add(name: string, amount = 1): void {
        this.totals.set(name, (this.totals.get(name) ?? 0) + amount);
        this.client?.increment(name, amount);
    }

    /** Sets a gauge. */
    set(name: string, value: number): void {
        this.gauges.set(name, value);
        this.client?.gauge(name, value);
    }

    /** Returns a counter's total; 0 where it was never added to. */
    get(name: string): number {
        return this.totals.get(name) ?? 0;
    }

    /** Returns all counters and gauges by name. */
    snapshot(): {
        readonly counters: Readonly<Record<string, number>>;
        readonly gauges: Readonly<Record<string, number>>;
    } {
        return { counters: Object.fromEntries(this.totals), gauges: Object.fromEntries(this.gauges) };
    }

    /** Closes the socket to StatsD. */
    close(): void {
        this.client?.close(() => undefined);
    }
}
