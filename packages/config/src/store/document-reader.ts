import type { KvClient, KvEntry } from "@ospreyreel/kv";
import type { VersionedDocument } from "@ospreyreel/types";
import type { ContactClock } from "./contact-clock.js";
import type { DocumentKeys } from "./document-keys.js";
import { decodeEditRecord, decodeVersionedDocument, type EditRecord } from "./document-records.js";

/** The document and the record of one edit in the key-value service. */
export interface StoredState {
    readonly head: VersionedDocument | undefined;
    /** Revision of the key-value service at the last change of the document; 0 where there is none. */
    readonly modRevision: number;
    readonly edit: EditRecord | undefined;
}

/** Options of {@link DocumentReader}. */
export interface DocumentReaderOptions {
    readonly kv: KvClient;
    readonly keys: DocumentKeys;
    readonly contact: ContactClock;
}

/** Decodes the entries of the document and of an edit. */
export const toStoredState = (head: KvEntry | undefined, edit: KvEntry | undefined): StoredState => ({
    head: head === undefined ? undefined : decodeVersionedDocument(head.value),
    modRevision: head?.modRevision ?? 0,
    edit: edit === undefined ? undefined : decodeEditRecord(edit.value),
});

/** Reads documents from the KV service; each method throws `kvUnavailable`, or `internal` for malformed values. */
export class DocumentReader {
    private readonly opts: DocumentReaderOptions;

    constructor(opts: DocumentReaderOptions) {
        this.opts = opts;
    }

    /** Reads the active document. */
    async readHead(): Promise<VersionedDocument | undefined> {
        const entry = await this.readEntry(this.opts.keys.document);
        return entry === undefined ? undefined : decodeVersionedDocument(entry.value);
    }

    /** Reads one accepted revision; undefined where it is not stored. */
    async readRevision(revision: number): Promise<VersionedDocument | undefined> {
        const entry = await this.readEntry(this.opts.keys.getHistoryKey(revision));
        return entry === undefined ? undefined : decodeVersionedDocument(entry.value);
    }

    /**
     * Reads the document and then the record of an edit. Due to this order, an edit without a record whose base is not
     * the document's revision can no longer be accepted.
     */
    async readState(editId: string): Promise<StoredState> {
        const head = await this.readEntry(this.opts.keys.document);
        const edit = await this.readEntry(this.opts.keys.getEditKey(editId));
        return toStoredState(head, edit);
    }

    private async readEntry(key: string): Promise<KvEntry | undefined> {
        const entry = await this.opts.kv.get(key);
        this.opts.contact.touch();
        return entry;
    }
}
