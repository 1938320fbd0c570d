import { hasResult, OspreyError } from "@ospreyreel/errors";
import type { KvClient, KvTxn } from "@ospreyreel/kv";
import type { Counters } from "@ospreyreel/telemetry";
import type { VersionedDocument } from "@ospreyreel/types";
import { createHash } from "node:crypto";
import { checkDocument, createDocumentError } from "../document/parse-document.js";
import { checkSuccession } from "../document/succession.js";
import type { AppliedEdit, DocumentEdit } from "./document-edit.js";
import type { DocumentKeys } from "./document-keys.js";
import { type DocumentReader, type StoredState, toStoredState } from "./document-reader.js";
import { decodeVersionedDocument, encodeRecord } from "./document-records.js";
import {
    createConflictError,
    createEditIdReusedError,
    createLostReplyError,
    createOutdatedEditError,
} from "./edit-errors.js";

const MAX_WRITE_ATTEMPTS = 5;
const FIRST_RETRY_DELAY_MS = 50;

/** Options of {@link EditWriter}. */
export interface EditWriterOptions {
    readonly kv: KvClient;
    readonly keys: DocumentKeys;
    readonly reader: DocumentReader;
    readonly counters: Counters;
    /** Number of revisions and edit ids that are stored. */
    readonly historyKept: number;
    /** Waits between attempts of a write whose reply was lost, in milliseconds. */
    readonly wait: (ms: number) => Promise<void>;
}

/** An accepted edit; `written` is undefined where it had been accepted before. */
export interface WrittenEdit extends AppliedEdit {
    readonly written: VersionedDocument | undefined;
}

const hashText = (text: string): string => createHash("sha256").update(text).digest("hex");

/** Converts a failed call of the key-value service to the error that an operator gets. */
const toUnavailable = (err: unknown): unknown =>
    hasResult(err, "kvUnavailable")
        ? new OspreyError("the key-value service cannot be reached", { result: "documentUnavailable", cause: err })
        : err;

/** Writes edits by compare-and-swap, each at most once. */
export class EditWriter {
    private readonly opts: EditWriterOptions;

    constructor(opts: EditWriterOptions) {
        this.opts = opts;
    }

    /**
     * Validates and writes an edit. Throws `invalidDocument`, `documentConflict` and `keyReused` only where the edit is
     * certainly not accepted and never will be, `documentUnavailable` where this call had no effect and is the first
     * for the edit, and `documentOutcomeUnknown` otherwise.
     *
     * `knownRevision` is the active revision here; a lower one in the key-value service means that it lost data.
     */
    async write(edit: DocumentEdit, knownRevision: number): Promise<WrittenEdit> {
        try {
            return await this.writeOnce(edit, knownRevision);
        }
        catch (err) {
            // A write of an earlier call may still be in flight, so this call cannot report that nothing was applied.
            throw edit.repeat === true && hasResult(err, "documentUnavailable") ? createLostReplyError(edit, err) : err;
        }
    }

    /** Deletes up to two entries beyond the history's bound with their records; a failure is left to the next edit. */
    async prune(revision: number): Promise<void> {
        const { kv, keys, historyKept } = this.opts;
        const oldest = await kv.range(keys.historyPrefix, { limit: 2 });
        for (const entry of oldest) {
            const old = decodeVersionedDocument(entry.value);
            if (old.revision <= revision - historyKept) {
                await kv.txn({
                    compares: [{ key: entry.key, modRevision: entry.modRevision }],
                    deletes: [{ key: entry.key }, { key: keys.getEditKey(old.editId) }],
                });
            }
        }
    }

    private async writeOnce(edit: DocumentEdit, knownRevision: number): Promise<WrittenEdit> {
        const checked = checkDocument(edit.text);
        if (checked.document === undefined) {
            throw createDocumentError(checked.faults);
        }
        const state = await this.readState(edit);
        const outcome = await this.findOutcome(edit, state, false);
        if (outcome !== undefined) {
            return outcome;
        }
        const { head } = state;
        if (knownRevision > (head?.revision ?? 0)) {
            throw new OspreyError(
                `the key-value service has revision ${head?.revision ?? 0}, below the active revision ${knownRevision}`,
                { result: "documentUnavailable" },
            );
        }
        const base = head === undefined ? undefined : checkDocument(head.text).document;
        const faults = checkSuccession(base, checked.document);
        if (faults.length > 0) {
            throw createDocumentError(faults.map(checked.locate));
        }
        return await this.commit(edit, state);
    }

    private async readState(edit: DocumentEdit): Promise<StoredState> {
        try {
            return await this.opts.reader.readState(edit.editId);
        }
        catch (err) {
            throw toUnavailable(err);
        }
    }

    /** Returns the outcome of an edit accepted before, undefined if it can be written; throws if it conflicts. */
    private async findOutcome(
        edit: DocumentEdit,
        state: StoredState,
        hasCompareFailed: boolean,
    ): Promise<WrittenEdit | undefined> {
        if (state.edit !== undefined) {
            if (state.edit.textSha256 !== hashText(edit.text)) {
                throw createEditIdReusedError(edit, state.edit.revision);
            }
            return { revision: state.edit.revision, alreadyApplied: true, written: undefined };
        }
        const revision = state.head?.revision ?? 0;
        if (!hasCompareFailed && revision === edit.baseRevision) {
            return undefined;
        }
        if (edit.baseRevision < revision - this.opts.historyKept) {
            throw createOutdatedEditError(edit, revision);
        }
        this.opts.counters.add("config_conflicts");
        throw createConflictError(edit, state.head, await this.readBase(edit.baseRevision));
    }

    private async readBase(revision: number): Promise<VersionedDocument | undefined> {
        try {
            return revision === 0 ? undefined : await this.opts.reader.readRevision(revision);
        }
        catch {
            // The conflict error names the accepted edit even if its changes cannot be shown.
            return undefined;
        }
    }

    /** Retries the same compare-and-swap until a reply settles it; at most one of the attempts can take effect. */
    private async commit(edit: DocumentEdit, state: StoredState): Promise<WrittenEdit> {
        const written: VersionedDocument = {
            revision: edit.baseRevision + 1,
            editId: edit.editId,
            author: edit.author,
            acceptedAtMs: Date.now(),
            text: edit.text,
        };
        const txn = this.createTxn(written, state.modRevision);
        let lostReply: unknown;
        for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
            if (attempt > 0) {
                await this.opts.wait(FIRST_RETRY_DELAY_MS * 2 ** (attempt - 1));
            }
            try {
                const result = await this.opts.kv.txn(txn);
                if (result.succeeded) {
                    return { revision: written.revision, alreadyApplied: false, written };
                }
                const [heads, edits] = result.reads;
                const outcome = await this.findOutcome(edit, toStoredState(heads?.[0], edits?.[0]), true);
                if (outcome !== undefined) {
                    return { ...outcome, alreadyApplied: lostReply === undefined };
                }
            }
            catch (err) {
                if (hasResult(err, "kvOutcomeUnknown")) {
                    lostReply = err;
                }
                else if (!hasResult(err, "kvUnavailable") || lostReply === undefined) {
                    throw toUnavailable(err);
                }
            }
        }
        this.opts.counters.add("config_outcome_unknown");
        throw createLostReplyError(edit, lostReply);
    }

    private createTxn(written: VersionedDocument, modRevision: number): KvTxn {
        const { keys } = this.opts;
        const editKey = keys.getEditKey(written.editId);
        const value = encodeRecord(written);
        const editRecord = { revision: written.revision, textSha256: hashText(written.text) };
        return {
            compares: [{ key: keys.document, modRevision }, { key: editKey, modRevision: 0 }],
            puts: [
                { key: keys.document, value },
                { key: keys.getHistoryKey(written.revision), value },
                { key: editKey, value: encodeRecord(editRecord) },
            ],
            onFailure: [{ key: keys.document }, { key: editKey }],
        };
    }
}
