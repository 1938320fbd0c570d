import type { TargetState } from "../targets/target-state.js";
import { GatePass, type GateRequest } from "./request-gate.js";
import type { ServiceGate } from "./service-gate.js";

/** Maximum number of waits of one request after its first send. */
const MAX_WAITS = 8;

/** Pass of a request through the gate of its service; holds a reservation until a send begins. */
export class ServicePass extends GatePass {
    private waits = 0;
    private isReserved: boolean;
    private totalMs: number;

    constructor(
        private readonly gate: Pick<ServiceGate, "hasRoomAt" | "isShort" | "planReturn" | "unreserve" | "waitAgain">,
        private readonly req: GateRequest,
        { waitedMs, isReserved }: { readonly waitedMs: number; readonly isReserved: boolean; },
    ) {
        super();
        this.totalMs = waitedMs;
        this.isReserved = isReserved;
    }

    override get waitedMs(): number {
        return this.totalMs;
    }

    override hasRoomAt(state: TargetState): boolean {
        return this.gate.hasRoomAt(state, this.req.tokens);
    }

    override recordSent(): void {
        this.release();
    }

    override async waitAgain(hasTarget: () => boolean): Promise<boolean> {
        if (this.waits >= MAX_WAITS || this.req.clock.signal.aborted) {
            return false;
        }
        this.waits += 1;
        this.release();
        const waitedMs = await this.gate.waitAgain(this.req, hasTarget);
        this.isReserved = waitedMs !== undefined;
        this.totalMs += waitedMs ?? 0;
        return this.isReserved;
    }

    override getRetryAfterS(): number | undefined {
        return this.gate.isShort ? this.gate.planReturn(this.req.clock.leftMs) : undefined;
    }

    override release(): void {
        if (this.isReserved) {
            this.isReserved = false;
            this.gate.unreserve();
        }
    }
}
