import test from "ava";
import { getKeyArea } from "./get-key-area.js";

test("own keys are named by what they are for, others by whose they are, never by a number", t => {
    t.is(getKeyArea("ospreyreel/budgets/17"), "budgets");
    t.is(getKeyArea("ospreyreel/budgets-since"), "budgets-since");
    t.is(getKeyArea("ospreyreel/parts/"), "parts");
    t.is(getKeyArea("servers/i-0"), "servers");
    t.is(getKeyArea("op/"), "op");
    t.is(getKeyArea(""), "");
});
