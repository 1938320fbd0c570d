import { OspreyError } from "@ospreyreel/errors";
import { type Static, Type } from "@sinclair/typebox";
import { formatPath } from "../json/fault.js";
import { createShapeCheck } from "../json/shape.js";

/** JSON Schema of an edit. */
export const documentEditSchema = Type.Object({
    text: Type.String({ description: "The whole document, JSON with comments." }),
    baseRevision: Type.Integer({ description: "Revision that the edit is based on; 0 for the first.", minimum: 0 }),
    editId: Type.String({ description: "Chosen by the operator's tool.", pattern: "^[A-Za-z0-9._-]{1,100}$" }),
    author: Type.String({
        description: "For history only; without control characters.",
        pattern: "^\\P{C}+$",
        maxLength: 100,
    }),
    repeat: Type.Optional(Type.Boolean({
        description: "An earlier call with this edit id may have had an effect, so an unavailable key-value service "
            + "leaves the outcome unknown. False by default.",
    })),
}, { additionalProperties: false });

/** An edit of the document that an operator submits. */
export type DocumentEdit = Readonly<Static<typeof documentEditSchema>>;

/** Outcome of an accepted edit. */
export interface AppliedEdit {
    readonly revision: number;
    /** Whether the edit had been accepted before under the same id. */
    readonly alreadyApplied: boolean;
}

const checkShape = createShapeCheck(documentEditSchema);

/** Checks the shape of an edit; throws `badRequest`. */
export const parseDocumentEdit = (value: unknown): DocumentEdit => {
    const { value: edit, faults } = checkShape(value);
    if (edit === undefined) {
        const details = faults.map(fault => `${formatPath(fault.path)}: ${fault.message}`);
        throw new OspreyError("the edit is malformed", { result: "badRequest", details });
    }
    return edit;
};
