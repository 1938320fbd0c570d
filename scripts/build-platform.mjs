// Bundles the process that runs on the users' platform into target/: one file loads faster than some hundred.
import { build } from "esbuild";
import { resolve } from "node:path";

/** Takes the workspaces' sources, so that nothing has to be compiled before. */
const workspaceSources = {
    name: "workspace-sources",
    setup: ({ onResolve }) => {
        onResolve({ filter: /^@ospreyreel\/[a-z-]+$/ }, ({ path }) => ({
            path: resolve("packages", path.slice("@ospreyreel/".length), "src", "index.ts"),
        }));
    },
};

await build({
    entryPoints: ["platform/src/main.ts"],
    outfile: "target/ospreyreel.cjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    // The CommonJS form of jsonc-parser hides its requires from a bundler.
    mainFields: ["module", "main"],
    legalComments: "none",
    // Names stay readable in stack traces; less text is parsed at the start and kept in memory.
    minifyWhitespace: true,
    minifySyntax: true,
    logLevel: "warning",
    plugins: [workspaceSources],
});
