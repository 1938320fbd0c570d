import { OspreyError } from "@ospreyreel/errors";

/** A frame or message that violates the protocol; ends its link only. */
export const FrameError = OspreyError.subclass("FrameError");

/** The peer did not prove that it knows the shared key. */
export const AuthError = OspreyError.subclass("AuthError");

/** The peer uses another version of the protocol. */
export const VersionError = OspreyError.subclass("VersionError");

/** A request that was certainly not sent, since no link to the peer could be used. */
const NotSentError = OspreyError.subclass("NotSentError");

/** Whether a request to a peer failed before it was sent. */
export const wasNotSent = (err: unknown): boolean => err instanceof NotSentError;

/** Creates the error of a request that was not sent; its result is `peerUnavailable` as well. */
export const requestNotSent = (message: string, cause?: unknown): Error =>
    new NotSentError(message, { result: "peerUnavailable", ...(cause === undefined ? {} : { cause }) });

/** Creates the error of a request whose outcome at the peer is unknown. */
export const peerUnavailable = (message: string, cause?: unknown): OspreyError =>
    new OspreyError(message, { result: "peerUnavailable", ...(cause === undefined ? {} : { cause }) });
