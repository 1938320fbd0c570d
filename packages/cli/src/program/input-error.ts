import { OspreyError, type OspreyErrorClass } from "@ospreyreel/errors";

/** An error in the command line or an input file, found before any edit is sent to the fleet. */
export const InputError = OspreyError.subclass("InputError") as unknown as OspreyErrorClass;

/** Instance of {@link InputError}. */
export type InputError = OspreyError;
