import test from "ava";
import { readFileSync } from "node:fs";
import { formatResultCodes } from "./format-result-codes.js";
import { ResultCodes } from "./index.js";

const readPage = () => readFileSync(new URL("../../../docs/result-codes.md", import.meta.url), "utf8");

test("docs/result-codes.md matches the table of result codes", t => {
    t.is(readPage(), formatResultCodes(Object.values(ResultCodes)), "run npm run docs:result-codes");
});

test("a code without Retry-After shows a dash", t => {
    t.true(formatResultCodes([ResultCodes.badRequest]).endsWith("| 400 | not run | - | The request is malformed. |\n"));
});
