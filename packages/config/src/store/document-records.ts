import { OspreyError } from "@ospreyreel/errors";
import type { VersionedDocument } from "@ospreyreel/types";
import { type Static, type TSchema, Type } from "@sinclair/typebox";
import { createShapeCheck } from "../json/shape.js";

/** Schema of a document with its revision. */
export const versionedDocumentSchema = Type.Object({
    revision: Type.Integer({ minimum: 1 }),
    editId: Type.String(),
    author: Type.String(),
    acceptedAtMs: Type.Number(),
    text: Type.String(),
});

/** Schema of the record of an edit. */
export const editRecordSchema = Type.Object({
    revision: Type.Integer({ minimum: 1 }),
    /** SHA-256 of the text; distinguishes a repeat from another edit with the same id. */
    textSha256: Type.String(),
});

/** Record of an accepted edit. */
export type EditRecord = Readonly<Static<typeof editRecordSchema>>;

const createDecoder = <T extends TSchema>(schema: T, recordName: string): (bytes: Uint8Array) => Static<T> => {
    const checkShape = createShapeCheck(schema);
    return bytes => {
        let parsed: unknown;
        try {
            parsed = JSON.parse(Buffer.from(bytes).toString("utf8"));
        }
        catch (err) {
            throw new OspreyError(`the stored ${recordName} is not JSON`, { result: "internal", cause: err });
        }
        const { value } = checkShape(parsed);
        if (value === undefined) {
            throw new OspreyError(`the stored ${recordName} has an unknown shape`, { result: "internal" });
        }
        return value;
    };
};

const checkVersionedDocument = createShapeCheck(versionedDocumentSchema);

/** Whether a value from another process is a versioned document. */
export const isVersionedDocument = (value: unknown): value is VersionedDocument =>
    checkVersionedDocument(value).value !== undefined;

/** Encodes a record as the value of a key. */
export const encodeRecord = (record: VersionedDocument | EditRecord): Uint8Array =>
    Buffer.from(JSON.stringify(record), "utf8");

/** Decodes a stored document; throws `internal` where the value is malformed. */
export const decodeVersionedDocument: (bytes: Uint8Array) => VersionedDocument = createDecoder(
    versionedDocumentSchema,
    "document",
);

/** Decodes a stored edit record; throws `internal` where the value is malformed. */
export const decodeEditRecord: (bytes: Uint8Array) => EditRecord = createDecoder(editRecordSchema, "edit record");
