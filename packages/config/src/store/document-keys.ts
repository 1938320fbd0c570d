const REVISION_DIGITS = 12;

/** Keys of the operators' document in the key-value service. */
export class DocumentKeys {
    /** Key of the active document. */
    readonly document: string;
    /** Prefix of the keys of accepted revisions. */
    readonly historyPrefix: string;
    private readonly editPrefix: string;

    constructor(prefix: string) {
        this.document = `${prefix}/config/document`;
        this.historyPrefix = `${prefix}/config/history/`;
        this.editPrefix = `${prefix}/config/edits/`;
    }

    /** Returns the key of one accepted revision, zero-padded so that byte order is the order of revisions. */
    getHistoryKey(revision: number): string {
        return `${this.historyPrefix}${String(revision).padStart(REVISION_DIGITS, "0")}`;
    }

    /** Returns the key of an edit's record, which holds the revision that the edit became. */
    getEditKey(editId: string): string {
        return `${this.editPrefix}${editId}`;
    }
}
