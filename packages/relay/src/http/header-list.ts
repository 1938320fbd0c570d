/** Headers that concern one connection only. */
const CONNECTION_HEADERS = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
]);

/** Pairs from names and values in turn. */
export const toPairs = (raw: readonly string[]): readonly (readonly [string, string])[] => {
    const pairs: (readonly [string, string])[] = [];
    for (let i = 0; i + 1 < raw.length; i += 2) {
        pairs.push([raw[i] ?? "", raw[i + 1] ?? ""]);
    }
    return pairs;
};

/** First value of a header; undefined where it is missing. */
export const findHeader = (
    pairs: readonly (readonly [string, string])[],
    name: string,
): string | undefined => {
    const found = pairs.find(([key]) => key.toLowerCase() === name);
    return found?.[1];
};

/** Number of times a header comes. */
export const countHeader = (pairs: readonly (readonly [string, string])[], name: string): number =>
    pairs.filter(([key]) => key.toLowerCase() === name).length;

/** The headers that concern the message itself, whichever connection it takes. */
export const keepMessageHeaders = (
    pairs: readonly (readonly [string, string])[],
): readonly (readonly [string, string])[] => {
    const named = pairs
        .filter(([key]) => key.toLowerCase() === "connection")
        .flatMap(([, value]) => value.split(",").map(name => name.trim().toLowerCase()));
    const dropped = new Set([...CONNECTION_HEADERS, ...named]);
    return pairs.filter(([key]) => !dropped.has(key.toLowerCase()));
};
