import { SendPermits } from "../limits/send-permits.js";
import type { TargetOutcome } from "../targets/target-port.js";
import type { TargetState } from "../targets/target-state.js";
import type { TargetRooms } from "./target-rooms.js";

const HTTP_ERROR_FROM = 500;

/** Permits every send, and records what its outcome says about the room of the target. */
export class RejectionRecorder extends SendPermits {
    /** `onRelease` is called with the service of each send that has ended. */
    constructor(private readonly rooms: TargetRooms, private readonly onRelease: (service: string) => void) {
        super();
    }

    override acquire(): Promise<boolean> {
        return Promise.resolve(true);
    }

    override release({ target: { service } }: TargetState): void {
        this.onRelease(service);
    }

    override recordOutcome(state: TargetState, outcome: TargetOutcome, startedAtMs: number): void {
        if (outcome.kind === "not_run" && outcome.reason === "full") {
            this.rooms.recordRejected(state);
        }
        else if (outcome.kind === "answer" && outcome.head.status < HTTP_ERROR_FROM) {
            this.rooms.recordAccepted(state, startedAtMs);
        }
    }
}
