import test from "ava";
import { readCommentedJson } from "./json-with-comments.js";

test("comments and trailing commas are skipped, and comments are reported", t => {
    const text = "// first\n{ \"a\": [1, 2, /* two */ ], // end\n}";
    t.deepEqual(readCommentedJson(text), { value: { a: [1, 2] }, hasComments: true });
});

test("comment markers and commas inside strings are preserved", t => {
    const value = { url: "http://127.0.0.1:1", odd: "a,] /* b */ \\\" // c", "k//": ",}" };
    t.deepEqual(readCommentedJson(JSON.stringify(value)), { value, hasComments: false });
    t.deepEqual(readCommentedJson("[1,]"), { value: [1], hasComments: false });
});

test("invalid JSON throws a SyntaxError", t => {
    for (const text of ["", "{", "[1,,2]", "/* open", "{\"a\" // b\n}"]) {
        t.throws(() => readCommentedJson(text), { instanceOf: SyntaxError }, text);
    }
});
