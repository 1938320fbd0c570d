import type { RespondingTarget, StartCheck } from "../targets/start-check.js";
import type { BegunStream } from "../targets/target-selector.js";
import type { StreamOrigins } from "./stream-origins.js";

/** Options of {@link StreamBeginning}. */
export interface StreamBeginningOptions {
    readonly origins: StreamOrigins;
    readonly starts: StartCheck;
    /** Name by which the stream is resumed. */
    readonly stream: string;
    /** Where the stream began that the request continues; undefined where it continues none. */
    readonly origin: BegunStream | undefined;
    /** Whether the stream may be continued at another target. */
    readonly isRepeatable: boolean;
}

/** Keeps which version began one request's stream, and records it for requests that resume the stream. */
export class StreamBeginning {
    private begun: BegunStream | undefined;
    /** The target that sent the first event, where it was not certain then which start of it did; undefined where that does not matter. */
    private uncertain: RespondingTarget | undefined;
    /** Whether the starts of targets that responded were the expected ones, by target. */
    private readonly checks = new Map<string, Promise<boolean>>();
    /** Resolves whether it has become known. */
    private verifying: Promise<boolean> | undefined;

    constructor(private readonly opts: StreamBeginningOptions) {
        this.begun = opts.origin;
    }

    /** Version that the sends have to continue; undefined before the first event. */
    get version(): BegunStream | undefined {
        return this.begun;
    }

    /** Whether a response may continue the stream, where one has begun: what another version writes does not. Does not throw. */
    async canContinueAt(responding: RespondingTarget): Promise<boolean> {
        if (this.begun === undefined) {
            return true;
        }
        const { id } = responding.target;
        const check = this.checks.get(id) ?? this.opts.starts.verify(responding);
        this.checks.set(id, check);
        return await check;
    }

    /** Records the target that sent the first event of the response. */
    recordBegun(responding: RespondingTarget): void {
        const { service, version } = responding.target;
        const isContinued = this.begun !== undefined;
        this.begun ??= { version };
        if (isContinued || this.opts.starts.isCertain(responding)) {
            this.recordOrigin(responding);
        }
        else if (version !== undefined && this.opts.isRepeatable) {
            this.uncertain = responding;
            if (this.opts.origins.isMixed(service)) {
                // Other instances have to know the origin before this one may be killed.
                void this.verify();
            }
        }
    }

    /** Records the origin once a newer view tells it: the target's entry may be gone when the stream breaks off. */
    recordIfCertain(): void {
        const { uncertain } = this;
        if (uncertain !== undefined && this.opts.starts.isCertain(uncertain)) {
            this.uncertain = undefined;
            this.recordOrigin(uncertain);
        }
    }

    /** Finds out which version began the stream; returns whether that is known. Does not throw. */
    async verify(): Promise<boolean> {
        const { uncertain } = this;
        if (uncertain === undefined) {
            return true;
        }
        this.verifying ??= this.opts.starts.verify(uncertain).then(isKnown => {
            if (isKnown) {
                this.recordOrigin(uncertain);
            }
            return isKnown;
        });
        return await this.verifying;
    }

    private recordOrigin({ target: { service, version } }: RespondingTarget): void {
        if (version !== undefined) {
            this.opts.origins.recordBegun(this.opts.stream, { service, version });
        }
    }
}
