import { Type } from "@sinclair/typebox";
import test from "ava";
import { documentSchema } from "../document/document-schema.js";
import { settingsSchema } from "../settings/settings-schema.js";
import { documentEditSchema } from "../store/document-edit.js";
import { editRecordSchema, versionedDocumentSchema } from "../store/document-records.js";
import { createShapeCheck, isValidSchema } from "./shape.js";

test("a process that loads a schema does not spend its start on compiling it", t => {
    const check = createShapeCheck(Type.String({ format: "no such format" }));
    // Only the compiler finds the unknown format.
    t.throws(() => check("x"), { message: /unknown format/ });
});

test("a check that has compiled its schema reports faults and fills in defaults each time", t => {
    const check = createShapeCheck(Type.Object({ a: Type.Integer(), b: Type.Integer({ default: 7 }) }));
    for (let round = 0; round < 2; round++) {
        t.deepEqual(check({ a: 1 }), { value: { a: 1, b: 7 }, faults: [] });
        t.is(check({ a: "x" }).faults.length, 1);
    }
});

test("each schema conforms to JSON Schema, which is not checked at run time", t => {
    const schemas = { documentSchema, settingsSchema, documentEditSchema, editRecordSchema, versionedDocumentSchema };
    for (const [name, schema] of Object.entries(schemas)) {
        t.true(isValidSchema(schema), name);
    }
    t.false(isValidSchema(Type.Unsafe({ type: "no such type" })));
});
