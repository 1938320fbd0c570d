import { BoundedMap } from "./bounded-map.js";

/** Maximum number of remembered parts. */
const MAX_PARTS = 8_192;

/** Time at which an answer last began, by part of its prompt. */
export class AnswerMemory {
    private readonly begunAtMs = new BoundedMap<number>(MAX_PARTS);

    /** Records that an answer to a prompt with these parts has begun. */
    record(parts: readonly string[], nowMs: number): void {
        parts.forEach(part => this.begunAtMs.set(part, nowMs));
    }

    /** Time at which an answer with the part last began, in milliseconds; undefined where none is known. */
    getBegunAtMs(part: string): number | undefined {
        return this.begunAtMs.get(part);
    }
}
