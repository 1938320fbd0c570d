import type { CallerAnswer } from "../platform-fleet.js";

/** A kind of request to a fleet on the platform. */
export type PlatformCallKind = "plain" | "once" | "model";

/** One request and what its caller saw. */
export interface PlatformCall {
    readonly kind: PlatformCallKind;
    readonly id: string;
    readonly promptTokens: number;
    readonly answer: CallerAnswer;
}
