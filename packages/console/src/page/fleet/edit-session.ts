import { setAt } from "../document/edit-value.js";
import { formatDocument } from "../document/format-document.js";
import type { ValuePath } from "../document/json-value.js";
import { readCommentedJson } from "../document/json-with-comments.js";
import { type MergedDocument, mergeDocuments } from "../document/merge-documents.js";
import { createEditId } from "./create-edit-id.js";
import { type EditOutcome, toEditOutcome } from "./edit-outcome.js";
import type { CallResult, CheckResult, DocumentResponse, Edit, OperatorCalls } from "./operator-calls.js";

/** The document that an edit is based on. */
export interface EditBase {
    /** 0 if no document was accepted yet. */
    readonly revision: number;
    readonly author: string;
    readonly document: unknown;
    readonly hasComments: boolean;
}

/** Options of an edit session. */
export interface EditSessionOptions {
    readonly calls: OperatorCalls;
    /** Initial document if none was accepted yet. */
    readonly emptyDocument: unknown;
    /** Creates edit ids; random by default. */
    readonly createEditId?: () => string;
}

/** One operator's edit of the document: the base, the edited document and the edit last sent. */
export class EditSession {
    private currentBase: EditBase;
    private editedDocument: unknown;
    private sent: Edit | undefined;
    private isPending = false;
    private checkedText: string | undefined;

    constructor(private readonly opts: EditSessionOptions) {
        this.currentBase = { revision: 0, author: "", document: opts.emptyDocument, hasComments: false };
        this.editedDocument = opts.emptyDocument;
    }

    /** The document that the edit is based on. */
    get base(): EditBase {
        return this.currentBase;
    }

    /** The document as edited. */
    get document(): unknown {
        return this.editedDocument;
    }

    /** The text that would be applied. */
    get text(): string {
        return formatDocument(this.editedDocument);
    }

    /** Whether the edited document differs from the base. */
    get isEdited(): boolean {
        return JSON.stringify(this.editedDocument) !== JSON.stringify(this.currentBase.document);
    }

    /** Whether the outcome of a sent edit is unknown; the document cannot be edited until it is known. */
    get isOutcomeUnknown(): boolean {
        return this.isPending;
    }

    /** Whether the current text was checked against the base without faults. */
    get isApplicable(): boolean {
        return !this.isPending && this.checkedText === this.text;
    }

    /** Id of the edit last sent. */
    get editId(): string | undefined {
        return this.sent?.editId;
    }

    /** Changes one value of the edited document. */
    set(path: ValuePath, value: unknown): void {
        if (this.isPending) {
            throw new Error("the outcome of the last edit is still unknown");
        }
        this.editedDocument = setAt(this.editedDocument, path, value);
    }

    /** Loads the active document and discards the edit. */
    async load(): Promise<CallResult<unknown>> {
        const result = await this.fetchBase();
        if (result.kind === "ok") {
            this.resetTo(result.body, result.body.document);
        }
        return result;
    }

    /** Loads the active document and merges the edit into it. */
    async reapply(): Promise<CallResult<MergedDocument>> {
        const result = await this.fetchBase();
        if (result.kind !== "ok") {
            return result;
        }
        const merged = mergeDocuments(this.currentBase.document, this.editedDocument, result.body.document);
        this.resetTo(result.body, merged.document);
        return { kind: "ok", body: merged };
    }

    /** Requests all faults and changes of the text from the fleet; nothing is applied. */
    async check(): Promise<CallResult<CheckResult>> {
        const { text } = this;
        const result = await this.opts.calls.check(text);
        const isClean = result.kind === "ok" && result.body.faults.length === 0
            && result.body.baseRevision === this.currentBase.revision;
        this.checkedText = isClean ? text : undefined;
        return result;
    }

    /** Sends the edit; the same edit keeps its id, so that it is applied at most once. */
    async apply(author: string): Promise<EditOutcome> {
        if (!this.isApplicable) {
            throw new Error("only a checked text can be applied");
        }
        const { text, sent } = this;
        const baseRevision = this.currentBase.revision;
        const isSame = sent !== undefined && sent.text === text && sent.baseRevision === baseRevision
            && sent.author === author;
        const edit = isSame
            ? sent
            : { text, baseRevision, author, editId: (this.opts.createEditId ?? createEditId)() };
        return await this.send(edit, false);
    }

    /** Sends the edit of unknown outcome again. */
    async repeat(): Promise<EditOutcome> {
        if (this.sent === undefined || !this.isPending) {
            throw new Error("there is no edit of unknown outcome");
        }
        return await this.send(this.sent, true);
    }

    private async send(edit: Edit, repeat: boolean): Promise<EditOutcome> {
        this.sent = edit;
        // The document cannot be edited during the call, as the outcome is unknown until the response.
        this.isPending = true;
        const outcome = toEditOutcome(await this.opts.calls.apply(edit, repeat), repeat);
        this.isPending = outcome.kind === "unknown";
        if (outcome.kind === "accepted") {
            const { revision } = outcome;
            this.resetTo(
                { revision, author: edit.author, document: this.editedDocument, hasComments: false },
                this.editedDocument,
            );
        }
        else if (outcome.kind === "conflict") {
            this.checkedText = undefined;
        }
        return outcome;
    }

    private async fetchBase(): Promise<CallResult<EditBase>> {
        const result = await this.opts.calls.getDocument();
        if (result.kind === "refused" && result.refusal.name === "not_found") {
            const document = this.opts.emptyDocument;
            return { kind: "ok", body: { revision: 0, author: "", document, hasComments: false } };
        }
        return result.kind === "ok" ? toBase(result.body) : result;
    }

    private resetTo(base: EditBase, document: unknown): void {
        this.currentBase = base;
        this.editedDocument = document;
        this.sent = undefined;
        this.isPending = false;
        this.checkedText = undefined;
    }
}

const toBase = ({ revision, author, text }: DocumentResponse): CallResult<EditBase> => {
    try {
        const { value, hasComments } = readCommentedJson(text);
        return { kind: "ok", body: { revision, author, document: value, hasComments } };
    }
    catch {
        return { kind: "lost", message: `the text of revision ${revision} could not be read` };
    }
};
