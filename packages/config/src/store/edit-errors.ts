import { OspreyError } from "@ospreyreel/errors";
import type { VersionedDocument } from "@ospreyreel/types";
import { getDocumentDiff } from "../document/document-diff.js";
import { checkDocument } from "../document/parse-document.js";
import type { DocumentEdit } from "./document-edit.js";

const getDiffLines = (base: VersionedDocument | undefined, winner: VersionedDocument): readonly string[] => {
    const from = base === undefined ? undefined : checkDocument(base.text).document;
    const to = checkDocument(winner.text).document;
    return to === undefined ? [] : getDocumentDiff(from, to).map(change => change.line);
};

/** Creates the error of an edit with an outdated base; names the active revision, its author and the changes since. */
export const createConflictError = (
    edit: DocumentEdit,
    winner: VersionedDocument | undefined,
    base: VersionedDocument | undefined,
): OspreyError => {
    if (winner === undefined) {
        return new OspreyError(`revision ${edit.baseRevision} is not in force; there is no document yet`, {
            result: "documentConflict",
        });
    }
    const changeLines = base === undefined && edit.baseRevision > 0
        ? [`revision ${edit.baseRevision} cannot be read, so the changes since cannot be shown`]
        : getDiffLines(base, winner);
    return new OspreyError(
        `the edit is based on revision ${edit.baseRevision}, but revision ${winner.revision} by ${winner.author} `
            + "is in force",
        { result: "documentConflict", details: changeLines },
    );
};

/** Creates the error of an edit whose text differs from the one accepted under its id. */
export const createEditIdReusedError = (edit: DocumentEdit, revision: number): OspreyError =>
    new OspreyError(`the edit id ${edit.editId} belongs to another edit, accepted as revision ${revision}`, {
        result: "keyReused",
    });

/** Creates the error of an edit whose base is so old that a record of the edit may have been deleted. */
export const createOutdatedEditError = (edit: DocumentEdit, revision: number): OspreyError =>
    new OspreyError(
        `revision ${edit.baseRevision} is too far behind revision ${revision} to tell whether the edit was accepted`,
        { result: "documentOutcomeUnknown", details: [`edit id ${edit.editId}`] },
    );

/** Creates the error of an edit whose write got no reply. */
export const createLostReplyError = (edit: DocumentEdit, cause: unknown): OspreyError =>
    new OspreyError(`the reply was lost; repeat with edit id ${edit.editId} to learn the outcome`, {
        result: "documentOutcomeUnknown",
        details: [`edit id ${edit.editId}`],
        cause,
    });
