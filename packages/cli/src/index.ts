/** The operators' command-line tool, callable from other programs. */
export * from "./client/operator-client.js";
export type * from "./program/command-io.js";
export { ExitCode } from "./program/exit-code.js";
export { runCli } from "./program/run-cli.js";
