import { BoundedMap } from "../bounded-map.js";
import { isWholeRequest } from "./watched-request.js";

/** Maximum number of remembered parts, and of whole requests. */
const MAX_ENTRIES = 8_192;

/** Time at which an answer last began, by part of its prompt and by the whole request. */
export class AnswerMemory {
    private readonly parts = new BoundedMap<number>(MAX_ENTRIES);
    /** Most requests are seen once; they must not displace the parts. */
    private readonly wholeRequests = new BoundedMap<number>(MAX_ENTRIES);

    /** Records that an answer to a request with these parts began at a time, in milliseconds. */
    record(parts: readonly string[], begunAtMs: number): void {
        parts.forEach(part =>
            this.getMap(part).set(part, Math.max(begunAtMs, this.getBegunAtMs(part) ?? Number.NEGATIVE_INFINITY))
        );
    }

    /** Time at which an answer with the part last began, in milliseconds; undefined where none is known. */
    getBegunAtMs(part: string): number | undefined {
        return this.getMap(part).get(part);
    }

    private getMap(part: string): BoundedMap<number> {
        return isWholeRequest(part) ? this.wholeRequests : this.parts;
    }
}
