import { GatePass, RequestGate } from "./request-gate.js";

/** A pass of a request that does not wait. */
class OpenPass extends GatePass {
    override readonly waitedMs = 0;

    override hasRoomAt(): boolean {
        return true;
    }

    override recordSent(): void {
        // Nothing is counted.
    }

    override waitAgain(): Promise<boolean> {
        return Promise.resolve(false);
    }

    override getRetryAfterS(): undefined {
        return undefined;
    }

    override release(): void {
        // Nothing is held.
    }
}

const PASS = new OpenPass();

/** Lets every request pass at once. */
export class OpenGate extends RequestGate {
    override enter(): GatePass {
        return PASS;
    }

    override close(): void {
        // Nothing waits.
    }
}
