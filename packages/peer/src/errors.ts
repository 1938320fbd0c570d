import { OspreyError } from "@ospreyreel/errors";

/** A frame or message that violates the protocol; ends its link only. */
export const FrameError = OspreyError.subclass("FrameError");

/** The peer did not prove that it knows the shared key. */
export const AuthError = OspreyError.subclass("AuthError");

/** The peer uses another version of the protocol. */
export const VersionError = OspreyError.subclass("VersionError");

/** Creates the error of a request whose outcome at the peer is unknown. */
export const peerUnavailable = (message: string, cause?: unknown): OspreyError =>
    new OspreyError(message, { result: "peerUnavailable", ...(cause === undefined ? {} : { cause }) });
