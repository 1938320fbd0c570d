import { reviewDocument } from "@ospreyreel/config";
import test from "ava";
import { isPathWithin, readFaultLine } from "./fault-line.js";

test("a fault line is parsed into path and message", t => {
    t.deepEqual(readFaultLine("3:9 $.teams[0][\"odd: \\\"key\"].name: must be a string"), {
        path: ["teams", 0, "odd: \"key", "name"],
        pathText: "$.teams[0][\"odd: \\\"key\"].name",
        message: "must be a string",
    });
    t.deepEqual(readFaultLine("and 12 more faults"), { path: [], pathText: "$", message: "and 12 more faults" });
});

test("every fault line of a document review is parsed", t => {
    const text = JSON.stringify({ teams: [{ name: "a b", budget: "none", keys: [{}] }], budgets: 1, odd: [] });
    const { faults } = reviewDocument(undefined, text);
    t.true(faults.length > 3);
    for (const fault of faults.map(readFaultLine)) {
        t.notRegex(fault.message, /^\d+:\d+ /);
    }
    t.true(faults.some(line => readFaultLine(line).path.join("/") === "teams/0/name"));
});

test("a path is within itself and its parents", t => {
    t.true(isPathWithin(["teams", 1, "name"], ["teams", 1]));
    t.true(isPathWithin(["teams"], []));
    t.false(isPathWithin(["teams"], ["teams", 1]));
    t.false(isPathWithin(["teams", 2], ["teams", 1]));
});
