import type { ResponseHead } from "../caller-exchange.js";
import { findHeader } from "./header-list.js";

const HTTP_OK_FROM = 200;
const HTTP_OK_BELOW = 300;
const HTTP_ERROR_FROM = 500;

/** Whether a target responded with success. */
export const isSuccess = ({ status }: ResponseHead): boolean => status >= HTTP_OK_FROM && status < HTTP_OK_BELOW;

/** Whether a target responded with an error of its own. */
export const isServerError = ({ status }: ResponseHead): boolean => status >= HTTP_ERROR_FROM;

/** Whether a response is a stream of events. */
export const isEventStream = ({ headers }: Pick<ResponseHead, "headers">): boolean =>
    findHeader(headers, "content-type")?.startsWith("text/event-stream") === true;
