type HeaderValue = string | readonly string[] | undefined;

const HTTP_NO_CONTENT = 204;
const HTTP_NOT_MODIFIED = 304;

const CHUNKED = /(^|,)[ \t]*chunked[ \t]*$/i;

/** Whether the end of a response is known by a length or by chunks, and not only by the end of its connection. */
export const isFramed = (status: number, contentLength: HeaderValue, transferEncoding: HeaderValue): boolean =>
    status === HTTP_NO_CONTENT || status === HTTP_NOT_MODIFIED || contentLength !== undefined
    || CHUNKED.test(String(transferEncoding ?? ""));
