#!/usr/bin/env node
import sade from "sade";
import { runDaemon } from "./run-daemon.js";

sade("ospreyreeld", true)
    .describe("Runs one entry instance of the fleet.")
    .option("--settings", "Settings file, JSON with comments", "ospreyreel.jsonc")
    .action(({ settings }: { readonly settings: string; }) => runDaemon({ settings }))
    .parse(process.argv);
