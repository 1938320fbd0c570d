/** Hop-by-hop headers, which apply to one connection only. */
const HOP_BY_HOP_HEADERS = new Set([
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

/** Converts alternating names and values to pairs. */
export const toHeaderPairs = (raw: readonly string[]): readonly (readonly [string, string])[] => {
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

/** Number of occurrences of a header. */
export const countHeader = (pairs: readonly (readonly [string, string])[], name: string): number =>
    pairs.filter(([key]) => key.toLowerCase() === name).length;

/** The end-to-end headers: drops hop-by-hop headers and those that `Connection` names. */
export const getEndToEndHeaders = (
    pairs: readonly (readonly [string, string])[],
): readonly (readonly [string, string])[] => {
    const named = pairs
        .filter(([key]) => key.toLowerCase() === "connection")
        .flatMap(([, value]) => value.split(",").map(name => name.trim().toLowerCase()));
    const dropped = new Set([...HOP_BY_HOP_HEADERS, ...named]);
    return pairs.filter(([key]) => !dropped.has(key.toLowerCase()));
};
