import { hasResult, type OspreyError } from "@ospreyreel/errors";
import test, { type ExecutionContext } from "ava";
import { createBudget, createDocument, createTeam, createText } from "../fixtures/documents.js";
import { MAX_LISTED_FAULTS } from "../json/fault.js";
import { MAX_DOCUMENT_BYTES, parseDocument } from "./parse-document.js";

const getFaults = (t: ExecutionContext, text: string): readonly string[] => {
    const err = t.throws(() => parseDocument(text));
    t.true(hasResult(err, "invalidDocument"));
    return (err as OspreyError).details;
};

/** Faults of a document without their lines, which depend on the fixture's layout. */
const getPathFaults = (t: ExecutionContext, text: string): readonly string[] =>
    getFaults(t, text).map(fault => fault.replace(/^\d+:\d+ /, ""));

test("a valid document with comments and trailing commas is parsed", t => {
    t.deepEqual(parseDocument(`// prepaid in June\n${createText()}`), createDocument());
    t.deepEqual(parseDocument("{\"teams\":[],\"budgets\":[],\"targets\":[],\"offerings\":[],\"rules\":[],}").teams, []);
});

test("all shape and reference faults are reported together, by line and path", t => {
    const text = [
        "{",
        "  \"teams\": [{ \"name\": \"alpha\", \"budget\": \"gone\", \"keys\": [] }],",
        "  \"budgets\": [{ \"name\": \"b\", \"topUps\": [{ \"id\": \"x\", \"tokens\": -1 }], \"lower\": true }],",
        "  \"targets\": [], \"offerings\": []",
        "}",
    ].join("\n");
    t.deepEqual(getFaults(t, text), [
        "1:1 $.rules: missing",
        "2:32 $.teams[0].budget: there is no budget of this name",
        "3:54 $.budgets[0].topUps[0].tokens: must be >= 1",
        "3:71 $.budgets[0].lower: unknown key",
    ]);
});

test("repeated names, keys and top-up ids are rejected", t => {
    const twice = [createTeam("alpha", "a"), createTeam("alpha", "a")];
    const budget = createBudget("alpha");
    const topUps = [...budget.topUps, ...budget.topUps];
    t.deepEqual(getPathFaults(t, createText({ teams: twice, budgets: [{ ...budget, topUps }], rules: [] })), [
        "$.teams[1].name: the name is used twice",
        "$.teams[1].keys[0].sha256: the key is used twice",
        "$.budgets[0].topUps[1].id: the top-up id is used twice",
    ]);
});

test("a target whose kind does not match the offering's is rejected", t => {
    const { offerings, targets } = createDocument();
    const swapped = offerings.map((offering, index) => ({ ...offering, targets: [targets[1 - index]?.name ?? ""] }));
    t.deepEqual(getPathFaults(t, createText({ offerings: swapped })), [
        "$.offerings[0].targets[0]: the target is of kind service, the offering needs engine",
        "$.offerings[1].targets[0]: the target is of kind engine, the offering needs service",
    ]);
});

test("a rule needs known teams, known offerings of one kind and a positive sum of shares", t => {
    const createRule = (name: string, ...routes: readonly (readonly [string, number])[]) => ({
        name,
        teams: ["nobody"],
        asks: "reader",
        routes: routes.map(([offering, share]) => ({ offering, share })),
    });
    const rules = [createRule("none", ["drafts", 0]), createRule("mixed", ["drafts", 1], ["visits", 1], ["gone", 1])];
    t.deepEqual(getPathFaults(t, createText({ rules })), [
        "$.rules[0].teams[0]: there is no team of this name",
        "$.rules[0].routes: the sum of shares must be more than 0",
        "$.rules[1].teams[0]: there is no team of this name",
        "$.rules[1].routes: offerings of one rule must be of one kind",
        "$.rules[1].routes[2].offering: there is no offering of this name",
    ]);
});

for (
    const url of [
        "http://localhost:80",
        "http://2130706433:80",
        "http://user@127.0.0.1:80",
        "http://127.0.0.1:80/path",
        "https://127.0.0.1",
        "127.0.0.1:80",
    ]
) {
    test(`${url} is rejected as a target's URL`, t => {
        const targets = createDocument().targets.map(target => ({ ...target, url }));
        t.is(getFaults(t, createText({ targets })).length, targets.length);
    });
}

test("a target's URL with an IPv6 number is accepted", t => {
    const targets = createDocument().targets.map(target => ({ ...target, url: "http://[::1]:8080" }));
    t.is(parseDocument(createText({ targets })).targets.length, targets.length);
});

test("repeated keys, syntax errors, deep nesting and oversized texts are rejected", t => {
    const repeated = createText().replace("\"name\": \"beta\"", "\"name\": \"beta\", \"name\": \"beta\"");
    t.deepEqual(getPathFaults(t, repeated), ["$.teams[1].name: the key is repeated"]);
    t.true(getFaults(t, createText().slice(0, -1)).some(fault => fault.endsWith("close brace expected")));
    t.deepEqual(getFaults(t, "[".repeat(100_000)), ["1:33 $: nested deeper than 32 levels"]);
    t.deepEqual(getFaults(t, " ".repeat(MAX_DOCUMENT_BYTES)), [`1:1 $: longer than ${MAX_DOCUMENT_BYTES} bytes`]);
});

test("the number of listed faults is bounded", t => {
    const faults = getFaults(t, JSON.stringify({ teams: Array.from({ length: 2000 }, () => 1) }));
    t.is(faults.length, MAX_LISTED_FAULTS + 1);
    t.is(faults.at(-1), "and 1004 more faults");
});
