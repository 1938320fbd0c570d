import test from "ava";
import { getAt, moveEntryUp, removeEntry, setAt } from "./edit-value.js";

test("setAt changes one value in a copy and leaves the original unchanged", t => {
    const root = { teams: [{ name: "a" }, { name: "b" }], rules: [] };
    const next = setAt(root, ["teams", 1, "name"], "c");
    t.deepEqual(next, { teams: [{ name: "a" }, { name: "c" }], rules: [] });
    t.is(getAt(root, ["teams", 1, "name"]), "b");
    t.is(getAt(next, ["teams", 1, "name"]), "c");
});

test("setAt with undefined removes a member", t => {
    const root = { offerings: [{ name: "a", priority: 1 }] };
    t.deepEqual(Object.keys(getAt(setAt(root, ["offerings", 0, "priority"], undefined), ["offerings", 0]) as object), [
        "name",
    ]);
});

test("removeEntry and moveEntryUp change a copy of the list", t => {
    const list = ["a", "b", "c"];
    t.deepEqual(removeEntry(list, 1), ["a", "c"]);
    t.deepEqual(moveEntryUp(list, 2), ["a", "c", "b"]);
    t.deepEqual(moveEntryUp(list, 0), list);
    t.deepEqual(list, ["a", "b", "c"]);
});
