import { OspreyError } from "@ospreyreel/errors";

/** Returns the error for a response that was billed and is too large to be returned to the caller. */
export const createResponseTooLargeError = (cause: unknown): OspreyError =>
    new OspreyError("the response exceeds the size limit and was discarded", { result: "answerTooLarge", cause });
