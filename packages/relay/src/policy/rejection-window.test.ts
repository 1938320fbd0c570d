import test from "ava";
import { RejectionWindow } from "./rejection-window.js";

// Guards against a burst of sends to a full target each time that its pause is over.
test("a target that rejects gets longer pauses, then one request more than it accepted, then as many as it has slots", t => {
    const window = new RejectionWindow();
    t.is(window.getFree(0, 1, 6), 5);
    window.recordRejected(0, 3, 0.5);
    t.is(window.getFree(39, 0, 6), 0);
    t.is(window.getFree(40, 0, 6), 2);
    window.recordRejected(40, 2, 0.5);
    t.is(window.getFree(119, 0, 6), 0);
    t.is(window.getFree(120, 0, 6), 1);
    window.recordAccepted(120);
    t.is(window.getFree(130, 1, 6), 1);
    t.is(window.getFree(2_041, 1, 6), 5);
});
