import { createHash } from "node:crypto";
import { Command, type CommandCall } from "../program/command.js";
import { ExitCode } from "../program/exit-code.js";
import { InputError } from "../program/input-error.js";

/** Hashes a caller's key for the document. */
export class HashKeyCommand extends Command {
    override readonly usage = "hash-key";
    override readonly description = "Read a caller's key from standard input and print its SHA-256 for the document";

    override async run(call: CommandCall): Promise<ExitCode> {
        const key = (await call.io.readInput()).replace(/\r?\n$/, "");
        if (key === "" || /\s/.test(key)) {
            throw new InputError("standard input must hold one key", { result: "badRequest" });
        }
        const sha256 = createHash("sha256").update(key).digest("hex");
        this.print(call, { sha256 }, [sha256]);
        return ExitCode.ok;
    }
}
