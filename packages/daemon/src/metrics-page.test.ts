import test from "ava";
import { readdir, readFile } from "node:fs/promises";

const ROOT = new URL("../../../", import.meta.url);

/** Calls whose first argument is the name of a counter or gauge. */
const COUNTER_CALL = /(?:counters|this)\??\.(?:add|set)\(([^)]*)/g;
const LITERAL = /["`]([a-z][\w.${}]*)["`]/g;
/** Counter names in a table of error classes. */
const ERROR_TABLE_ENTRY = /\[\w+Error, "(\w+)"\]/g;
const ROW = /^\| `([^`]+)` \| (?:counter|gauge) \|/gm;

/** Replaces the variable part of a name by `*`. */
const normalize = (name: string): string => name.replace(/\$\{[^}]*\}|<[^>]*>/g, "*");

const readSources = async (): Promise<string> => {
    const files = await readdir(new URL("packages/", ROOT), { recursive: true });
    const sources = files.filter(file =>
        /^[^/]+\/src\/.*\.ts$/.test(file) && !file.endsWith(".test.ts") && !file.includes("node_modules")
    );
    const texts = await Promise.all(sources.map(file => readFile(new URL(`packages/${file}`, ROOT), "utf8")));
    return texts.join("\n");
};

const getNames = (sources: string): ReadonlySet<string> => {
    const args = [...sources.matchAll(COUNTER_CALL)].map(match => match[1] ?? "");
    const literals = args.flatMap(arg => [...arg.split(", ")[0]?.matchAll(LITERAL) ?? []]);
    const tabled = [...sources.matchAll(ERROR_TABLE_ENTRY)];
    return new Set([...literals, ...tabled].map(match => normalize(match[1] ?? "")));
};

test("docs/metrics.md lists exactly the counters and gauges in the sources", async t => {
    const page = await readFile(new URL("docs/metrics.md", ROOT), "utf8");
    const documented = [...page.matchAll(ROW)].map(match => normalize(match[1] ?? "")).sort();
    const used = [...getNames(await readSources())].sort();
    t.true(used.includes("caller_errors.*") && used.includes("kv_reads") && used.includes("peer_auth_failures"));
    t.deepEqual(documented, used);
});
