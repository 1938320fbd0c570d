import { documentSchema, reviewDocument } from "@ospreyreel/config";
import test from "ava";
import { setAt } from "../document/edit-value.js";
import { toList, toRecord, type ValuePath } from "../document/json-value.js";
import { changeBranch, createInitialValue, getBranch, getBranchName } from "./create-initial-value.js";
import type { FormSchema } from "./form-schema.js";
import { isAccepted, isAddOnly } from "./is-accepted.js";
import { readInput } from "./read-input.js";

const schema = documentSchema as unknown as FormSchema;

const getItems = (section: string): FormSchema => schema.properties?.[section]?.items ?? {};

const add = (document: unknown, path: ValuePath, items: FormSchema, members: object): unknown => {
    const list = toList(path.reduce<unknown>((value, key) => toRecord(value)[key], document));
    return setAt(document, path, [...list, { ...toRecord(createInitialValue(items)), ...members }]);
};

test("createValue builds an empty document without faults", t => {
    t.deepEqual(createInitialValue(schema), { teams: [], budgets: [], targets: [], offerings: [], rules: [] });
    t.deepEqual(reviewDocument(undefined, JSON.stringify(createInitialValue(schema))).faults, []);
});

test("a document built entry by entry has no faults", t => {
    const offerings = getItems("offerings");
    const model = { ...changeBranch(offerings, {}, "model"), model: "reader", targets: ["engine-1"] };
    const key = { id: "first", sha256: "a".repeat(64) };
    const target = { name: "engine-1", url: "http://127.0.0.1:9001", availabilityZone: "ahd-hall" };
    const rule = { name: "all", teams: ["*"], asks: "reader", routes: [{ offering: "drafts", share: 1 }] };
    let document = createInitialValue(schema);
    document = add(document, ["budgets"], getItems("budgets"), { name: "desk", topUps: [{ id: "a", tokens: 5 }] });
    document = add(document, ["teams"], getItems("teams"), { name: "desk", budget: "desk", keys: [key] });
    document = add(document, ["targets"], getItems("targets"), target);
    document = add(document, ["offerings"], offerings, { ...model, name: "drafts" });
    document = add(document, ["rules"], getItems("rules"), rule);
    t.deepEqual(reviewDocument(undefined, JSON.stringify(document)).faults, []);
});

test("an offering changed to another kind keeps the members that both kinds have", t => {
    const items = getItems("offerings");
    const model = { name: "a", kind: "model", model: "m", maxTokens: 5, targets: ["t"], priority: 2 };
    t.is(getBranchName(items, getBranch(items, model)), "model");
    t.deepEqual(changeBranch(items, model, "service"), { name: "a", kind: "service", targets: ["t"], priority: 2 });
});

test("readInput converts typed text to the schema's type and keeps invalid numbers as text", t => {
    t.is(readInput({ type: "integer" }, " 12 ", true), 12);
    t.is(readInput({ type: "number" }, "0.5", true), 0.5);
    t.is(readInput({ type: "integer" }, "12x", true), "12x");
    t.is(readInput({ type: "integer" }, "", true), "");
    t.is(readInput({ type: "integer" }, "", false), undefined);
    t.is(readInput({ type: "boolean" }, "", false), undefined);
    t.is(readInput({ type: "boolean" }, "false", false), false);
    t.is(readInput({ type: "string" }, "007", true), "007");
});

test("accepted budget names and top-ups are locked, and new ones are editable", t => {
    const base = { budgets: [{ name: "a", topUps: [{ id: "first", tokens: 1 }] }] };
    t.true(isAccepted(base, ["budgets", 0]));
    t.true(isAccepted(base, ["budgets", 0, "name"]));
    t.true(isAccepted(base, ["budgets", 0, "topUps", 0, "tokens"]));
    t.false(isAccepted(base, ["budgets", 0, "topUps", 1, "tokens"]));
    t.false(isAccepted(base, ["budgets", 0, "closed"]));
    t.false(isAccepted(base, ["budgets", 1, "name"]));
    t.false(isAccepted(base, ["teams", 0, "name"]));
    t.true(isAddOnly(["budgets"]));
    t.true(isAddOnly(["budgets", 0, "topUps"]));
    t.false(isAddOnly(["rules"]));
});
