import { once } from "node:events";
import { peerUnavailable, requestNotSent } from "./errors.js";
import type { Link } from "./link.js";
import type { MemberRecord } from "./messages.js";

/** Options of {@link OnDemandDials}. */
export interface OnDemandDialsOptions {
    readonly find: (incarnation: string) => MemberRecord | undefined;
    /** Opens a link to a member and serves it; throws where that fails. */
    readonly open: (record: MemberRecord) => Promise<Link>;
}

/** Opens links for requests; concurrent requests to one member share the dial. */
export class OnDemandDials {
    private readonly opts: OnDemandDialsOptions;
    private readonly dialling = new Map<string, Promise<Link>>();

    constructor(opts: OnDemandDialsOptions) {
        this.opts = opts;
    }

    /** Returns a link to an incarnation; throws `peerUnavailable` where none can be opened in time. */
    async getLink(incarnation: string, timeoutMs: number): Promise<Link> {
        const record = this.opts.find(incarnation);
        if (record === undefined) {
            throw requestNotSent(`${incarnation} is not a member`);
        }
        const dialling = this.dialling.get(incarnation) ?? this.start(record);
        try {
            return await Promise.race([dialling, rejectAfter(timeoutMs)]);
        }
        catch (cause) {
            throw requestNotSent(`no link to ${record.info.instance}`, cause);
        }
    }

    private start(record: MemberRecord): Promise<Link> {
        const { incarnation } = record.info;
        const dialling = this.opts.open(record).finally(() => this.dialling.delete(incarnation));
        this.dialling.set(incarnation, dialling);
        return dialling;
    }
}

const rejectAfter = async (timeoutMs: number): Promise<never> => {
    await once(AbortSignal.timeout(Math.ceil(timeoutMs)), "abort");
    throw peerUnavailable("the peer could not be dialled in time");
};
