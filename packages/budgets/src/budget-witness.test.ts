import test from "ava";
import { BudgetWitness } from "./budget-witness.js";

const note = (epoch: number, upTo: number) => ({ notes: [{ shard: 1, epoch, budget: "team", upTo }] });

test("a sealed epoch accepts no further note, and each seal returns its highest note", t => {
    const witness = new BudgetWitness();
    t.true(witness.note(note(3, 10)));
    t.true(witness.note(note(3, 8)));
    t.deepEqual(witness.seal({ shard: 1, epoch: 3 }), { upTo: { team: 10 } });
    t.false(witness.note(note(3, 20)));
    t.deepEqual(witness.seal({ shard: 1, epoch: 3 }), { upTo: { team: 10 } });
});

test("an epoch that is sealed before its first note accepts no notes", t => {
    const witness = new BudgetWitness();
    t.deepEqual(witness.seal({ shard: 1, epoch: 3 }), { upTo: {} });
    t.false(witness.note(note(3, 1)));
});

test("notes of a later epoch are accepted, then those of an earlier one are rejected", t => {
    const witness = new BudgetWitness();
    t.true(witness.note(note(3, 10)));
    t.true(witness.note(note(4, 1)));
    t.false(witness.note(note(3, 11)));
    t.deepEqual(witness.seal({ shard: 1, epoch: 4 }), { upTo: { team: 1 } });
});

test("either all notes of a request are accepted or none", t => {
    const witness = new BudgetWitness();
    witness.seal({ shard: 1, epoch: 3 });
    const both = { notes: [{ shard: 2, epoch: 1, budget: "other", upTo: 5 }, ...note(3, 1).notes] };
    t.false(witness.note(both));
    t.deepEqual(witness.seal({ shard: 2, epoch: 1 }), { upTo: {} });
});
