// Writes docs/result-codes.md from the table of result codes; needs a build first.
import { writeFileSync } from "node:fs";
import { formatResultCodes } from "../packages/errors/dist/format-result-codes.js";
import { ResultCodes } from "../packages/errors/dist/index.js";

writeFileSync(new URL("../docs/result-codes.md", import.meta.url), formatResultCodes(Object.values(ResultCodes)));
