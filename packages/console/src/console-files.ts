import { readdir, readFile } from "node:fs/promises";
import { extname, join, relative, sep } from "node:path";
import { fileURLToPath } from "node:url";

/** Headers and body of a served file. */
export interface ConsoleFile {
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
}

const CONTENT_TYPES: Readonly<Record<string, string>> = {
    ".html": "text/html; charset=utf-8",
    ".css": "text/css; charset=utf-8",
    ".js": "text/javascript; charset=utf-8",
};

const CONTENT_SECURITY_POLICY = [
    "default-src 'none'",
    "script-src 'self'",
    "style-src 'self'",
    "connect-src 'self'",
    "base-uri 'none'",
    "form-action 'none'",
    "frame-ancestors 'none'",
].join("; ");

const readServedFile = async (path: string): Promise<ConsoleFile> => ({
    headers: {
        "content-type": CONTENT_TYPES[extname(path)] ?? "application/octet-stream",
        "content-security-policy": CONTENT_SECURITY_POLICY,
        "x-content-type-options": "nosniff",
        "referrer-policy": "no-referrer",
        // A cached page of an older version must not call a newer daemon.
        "cache-control": "no-store",
    },
    body: await readFile(path),
});

const listModules = async (dir: string): Promise<readonly string[]> => {
    const entries = await readdir(dir, { recursive: true, withFileTypes: true });
    return entries
        .filter(entry => entry.isFile() && entry.name.endsWith(".js") && !entry.name.endsWith(".test.js"))
        .map(entry => join(entry.parentPath, entry.name));
};

/** Reads the page's files, keyed by their URL path; no other file is ever read for a request. */
export const readConsoleFiles = async (): Promise<ReadonlyMap<string, ConsoleFile>> => {
    const pageDir = fileURLToPath(new URL("./page/", import.meta.url));
    const staticDir = fileURLToPath(new URL("../static/", import.meta.url));
    const modules = (await listModules(pageDir)).map(path =>
        [`/console/page/${relative(pageDir, path).split(sep).join("/")}`, path] as const
    );
    const paths: readonly (readonly [string, string])[] = [
        ["/console", join(staticDir, "index.html")],
        ["/console/console.css", join(staticDir, "console.css")],
        ...modules,
    ];
    return new Map(await Promise.all(paths.map(async ([url, path]) => [url, await readServedFile(path)] as const)));
};
