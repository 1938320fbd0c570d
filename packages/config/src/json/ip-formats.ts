import { isIP } from "node:net";

/** Whether a text is an IPv4 or IPv6 number without a zone. */
export const isIpNumber = (text: string): boolean => isIP(text) !== 0 && !text.includes("%");

const parseIpUrl = (text: string): URL | undefined => {
    if (!URL.canParse(text)) {
        return undefined;
    }
    const url = new URL(text);
    const host = url.hostname.replace(/^\[(.*)\]$/, "$1");
    // The URL parser normalizes hosts such as 2130706433 to an IP number; only a literal IP number is accepted.
    return text.startsWith(`http://${url.hostname}`) && isIpNumber(host) && !text.includes("@") ? url : undefined;
};

/** Whether a text is an HTTP URL by IP number, without credentials. */
export const isIpUrl = (text: string): boolean => parseIpUrl(text) !== undefined;

/** Whether a text is `http://IP:PORT`, without path, query or credentials. */
export const isIpBaseUrl = (text: string): boolean => isIpUrl(text) && /^http:\/\/[^/?#]+\/?$/.test(text);
