// Removes compiled files whose source is gone: the compiler leaves them, and the runner would still run removed tests.
import { existsSync, readdirSync, rmSync } from "node:fs";
import { join } from "node:path";

const OUTPUT = /^(.*?)(\.d\.ts|\.js)(\.map)?$/;

const hasSource = (dir, name) => ["ts", "tsx"].some(extension => existsSync(join(dir, "src", `${name}.${extension}`)));

const removeStaleOutputs = packageDir => {
    const dist = join(packageDir, "dist");
    const files = existsSync(dist) ? readdirSync(dist, { recursive: true }) : [];
    for (const file of files) {
        const match = OUTPUT.exec(file);
        if (match !== null && !hasSource(packageDir, match[1])) {
            rmSync(join(dist, file));
            console.log(`removed ${join(dist, file)}: its source is gone`);
        }
    }
};

for (const name of readdirSync("packages")) {
    removeStaleOutputs(join("packages", name));
}
removeStaleOutputs("platform");
