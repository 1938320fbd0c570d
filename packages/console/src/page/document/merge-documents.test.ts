import test from "ava";
import { mergeDocuments } from "./merge-documents.js";

const createBudget = (name: string, ...topUps: readonly (readonly [string, number])[]) => ({
    name,
    topUps: topUps.map(([id, tokens]) => ({ id, tokens })),
});

const createTeam = (name: string, budget = name) => ({ name, budget, keys: [] });

const base = {
    teams: [createTeam("alpha"), createTeam("beta")],
    budgets: [createBudget("alpha", ["first", 10])],
    rules: [{ name: "r1" }, { name: "r2" }],
};

test("edits of different entries are merged without overlaps", t => {
    const mine = { ...base, teams: [createTeam("alpha", "other"), createTeam("beta"), createTeam("mine")] };
    const theirs = { ...base, teams: [createTeam("alpha"), createTeam("theirs")] };
    const { document, overlaps } = mergeDocuments(base, mine, theirs);
    t.deepEqual(document.teams, [createTeam("alpha", "other"), createTeam("theirs"), createTeam("mine")]);
    t.deepEqual(overlaps, []);
});

test("an entry changed by both edits is taken from the operator's edit and reported as an overlap", t => {
    const mine = { ...base, teams: [createTeam("alpha", "mine"), createTeam("beta")] };
    const theirs = { ...base, teams: [createTeam("alpha", "theirs"), createTeam("beta")] };
    const { document, overlaps } = mergeDocuments(base, mine, theirs);
    t.deepEqual(document.teams, mine.teams);
    t.deepEqual(overlaps, ["teams/alpha: yours is taken"]);
});

test("top-ups of both sides are kept, the accepted ones first and unchanged", t => {
    const mine = { ...base, budgets: [createBudget("alpha", ["first", 10], ["same", 3], ["mine", 1])] };
    const theirs = {
        ...base,
        budgets: [{ ...createBudget("alpha", ["first", 10], ["theirs", 2], ["same", 4]), closed: true }],
    };
    const { document, overlaps } = mergeDocuments(base, mine, theirs);
    t.deepEqual(document.budgets, [{
        ...createBudget("alpha", ["first", 10], ["theirs", 2], ["same", 4], ["mine", 1]),
        closed: true,
    }]);
    t.deepEqual(overlaps, ["budgets/alpha/topUps/same: the accepted one stays"]);
});

test("a new order of rules is kept, and rules added by the other edit follow", t => {
    const mine = { ...base, rules: [{ name: "r2" }, { name: "r1" }] };
    const theirs = { ...base, rules: [{ name: "r0" }, { name: "r1" }, { name: "r2" }] };
    t.deepEqual(mergeDocuments(base, mine, theirs).document.rules, [{ name: "r2" }, { name: "r1" }, { name: "r0" }]);
    t.deepEqual(mergeDocuments(base, base, theirs).document, theirs);
    t.deepEqual(mergeDocuments(base, mine, base).document, mine);
});

test("entries that share a name are not lost", t => {
    const mine = { ...base, teams: [...base.teams, createTeam("beta", "again")] };
    t.deepEqual(mergeDocuments(base, mine, base).document.teams, mine.teams);
});
