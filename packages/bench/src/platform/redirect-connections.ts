import { Socket } from "node:net";
import { REDIRECTS_VARIABLE } from "./redirects-variable.js";

type Connect = (this: Socket, ...args: readonly unknown[]) => Socket;

/** Loaded into an instance before its main module: what it connects to goes through the rig's proxies. */
const redirects = new Map(
    Object.entries(JSON.parse(process.env[REDIRECTS_VARIABLE] ?? "{}") as Record<string, string>),
);

const redirect = (opts: unknown): unknown => {
    if (typeof opts !== "object" || opts === null || !("port" in opts)) {
        return opts;
    }
    const [host, port] = redirects.get(`${"host" in opts ? String(opts.host) : ""}:${String(opts.port)}`)?.split(":")
        ?? [];
    return host === undefined ? opts : { ...opts, host, port: Number(port) };
};

// eslint-disable-next-line @typescript-eslint/unbound-method -- Called with the socket.
const original = Socket.prototype.connect as Connect;
const connect: Connect = function(first, ...rest) {
    // `net.connect` passes its arguments on as one normalized list.
    if (Array.isArray(first)) {
        first[0] = redirect(first[0]);
        return original.call(this, first, ...rest);
    }
    return original.call(this, redirect(first), ...rest);
};
Socket.prototype.connect = connect;
