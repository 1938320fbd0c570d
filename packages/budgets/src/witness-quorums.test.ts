import test from "ava";
import { getNoteQuorum, getSealQuorum, getTakeoverQuorum, getUnsealedQuorum } from "./witness-quorums.js";

const COUNTS = [1, 2, 3, 4, 5, 7, 9];

test("each note that counted is known to a quorum of seals", t => {
    t.true(COUNTS.every(count => getNoteQuorum(count) + getSealQuorum(count) > count));
});

test("an owner and a successor that took the budget over from it cannot both go on after a restore", t => {
    t.true(
        COUNTS.every(count =>
            getTakeoverQuorum(count) >= 1 && getTakeoverQuorum(count) + getUnsealedQuorum(count) > count
        ),
    );
});

test("an owner without witnesses goes on, and nobody takes over from it at once", t => {
    t.is(getUnsealedQuorum(0), 0);
    t.is(getTakeoverQuorum(0), Number.POSITIVE_INFINITY);
});
