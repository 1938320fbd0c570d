// Runs the cases in review/, each several times, and prints how often each held. `node scripts/run-review-cases.mjs --runs 5 1 3` runs two of them.
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";

const REVIEW = new URL("../review", import.meta.url).pathname;

/** Exit codes of a case. */
const HELD = 0;
const BROKEN = 1;

const { values, positionals } = parseArgs({
    options: { runs: { type: "string", default: "1" } },
    allowPositionals: true,
});
const found = readdirSync(REVIEW).filter(name => existsSync(join(REVIEW, name, "run.sh")));
const cases = positionals.length > 0 ? positionals : found;

const run = script => spawnSync("bash", [join(REVIEW, script)], { stdio: "inherit" }).status;

if (run("build.sh") !== HELD) {
    process.exit(BROKEN);
}
let hasFailed = false;
for (const name of cases) {
    const codes = Array.from({ length: Number(values.runs) }, () => run(`${name}/run.sh`));
    const held = codes.filter(code => code === HELD).length;
    const broken = codes.filter(code => code === BROKEN).length;
    hasFailed ||= held < codes.length;
    console.log(
        `case ${name}: held in ${held} of ${codes.length} runs, broken in ${broken}, not run in ${
            codes.length - held - broken
        }`,
    );
}
process.exit(hasFailed ? BROKEN : HELD);
