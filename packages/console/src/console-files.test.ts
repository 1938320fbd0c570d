import test from "ava";
import { readConsoleFiles } from "./console-files.js";

test("each file has a strict content security policy and refers only to served files", async t => {
    const files = await readConsoleFiles();
    t.true(files.has("/console"));
    for (const [path, { headers, body }] of files) {
        t.regex(headers["content-security-policy"] ?? "", /default-src 'none'; script-src 'self';/, path);
        t.notRegex(headers["content-security-policy"] ?? "", /unsafe|\*|data:/, path);
        t.is(headers["x-content-type-options"], "nosniff", path);
        t.notRegex(path, /\.test\./);
        const text = body.toString("utf8");
        t.notRegex(text, /https?:\/\/|innerHTML|outerHTML|insertAdjacentHTML|document\.write|\beval\(/, path);
        const imports = [...text.matchAll(/ from "(.*)";/g)].map(([, name = ""]) =>
            new URL(name, `http://host${path}`)
        );
        const links = [...text.matchAll(/(?:src|href)="(.*?)"/g)].map(([, name = ""]) => new URL(name, "http://host"));
        for (const { pathname } of [...imports, ...links]) {
            t.true(files.has(pathname), `${path} names ${pathname}`);
        }
    }
});

test("the page's markup has no inline script or style", async t => {
    const markup = (await readConsoleFiles()).get("/console")?.body.toString("utf8") ?? "";
    t.notRegex(markup, /<style| style=| on[a-z]+=|<script(?![^>]* src=)/);
});
