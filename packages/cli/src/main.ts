#!/usr/bin/env node
import { text } from "node:stream/consumers";
import { runCli } from "./program/run-cli.js";

process.exitCode = await runCli(process.argv, {
    env: process.env,
    readInput: () => text(process.stdin),
    print: line => process.stdout.write(`${line}\n`),
    printError: line => process.stderr.write(`${line}\n`),
});
