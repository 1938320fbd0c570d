import test from "ava";
import { PriorityUrgency, type UrgencyNumbers } from "./request-urgency.js";

const getUrgency = (overrides: Partial<UrgencyNumbers>): number | undefined =>
    new PriorityUrgency().getUrgency({
        priority: 1,
        isMixed: true,
        waitedMs: 0,
        latencyTargetMs: 400,
        isContinued: false,
        ...overrides,
    });

// Guards against urgent requests that wait at a target behind less urgent ones.
test("a more urgent request goes before each less urgent one, whatever that has waited", t => {
    for (const priority of [0, 1, 2, 3]) {
        const later = getUrgency({ priority: priority + 1, waitedMs: 10_000, isContinued: true }) ?? 0;
        t.true((getUrgency({ priority }) ?? 9) < later, `${priority}`);
    }
});

// Guards against long streams that are paused again and again for new requests of the same priority.
test("a stream that is continued, and a request whose time is half over, go before new ones of their priority", t => {
    const fresh = getUrgency({}) ?? 0;
    t.true((getUrgency({ isContinued: true }) ?? 9) < fresh);
    t.true((getUrgency({ waitedMs: 200 }) ?? 9) < fresh);
    t.is(getUrgency({ waitedMs: 199 }), fresh);
});

test("levels stay within those that targets know", t => {
    t.is(getUrgency({ priority: 1_000 }), 9);
    t.is(getUrgency({ priority: -3 }), 1);
});

test("nothing is said where all requests of a service have the same priority", t => {
    t.is(getUrgency({ isMixed: false }), undefined);
});
