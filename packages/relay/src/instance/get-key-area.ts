/** First part of the keys that instances write for themselves. */
const OWN_KEYS = "ospreyreel";

/** What a key of the KV service is for: the second part of an own key, else the first one; few in number. */
export const getKeyArea = (key: string): string => {
    const [first = "", second = ""] = key.split("/");
    return first === OWN_KEYS ? second : first;
};
