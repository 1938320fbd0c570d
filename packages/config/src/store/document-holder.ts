import type { Counters, Log } from "@ospreyreel/telemetry";
import type { VersionedDocument } from "@ospreyreel/types";
import { fromEvent, type Stream } from "most";
import { EventEmitter } from "node:events";
import type { OperatorsDocument } from "../document/document.js";
import { parseDocument } from "../document/parse-document.js";

/** An active document, with its text parsed. */
export interface CurrentDocument extends VersionedDocument {
    readonly document: OperatorsDocument;
}

/** Where a document came from. */
export type DocumentSource = "edit" | "kv" | "peer";

/** Options of {@link DocumentHolder}. */
export interface DocumentHolderOptions {
    readonly counters: Counters;
    readonly log: Log;
}

/** Holds the active document; replaces it only by one with a higher revision. */
export class DocumentHolder {
    private readonly counters: Counters;
    private readonly log: Log;
    private readonly events = new EventEmitter();
    private active: CurrentDocument | undefined;

    constructor(opts: DocumentHolderOptions) {
        this.counters = opts.counters;
        this.log = opts.log;
        this.events.setMaxListeners(0);
    }

    /** The active document; undefined before the first. */
    current(): CurrentDocument | undefined {
        return this.active;
    }

    /** The active revision; 0 before the first. */
    revision(): number {
        return this.active?.revision ?? 0;
    }

    /** Emits each document when it becomes active. */
    changes(): Stream<CurrentDocument> {
        return fromEvent<CurrentDocument>("change", this.events);
    }

    /** Activates a document if its revision is higher and its text is valid. Returns whether it was activated. */
    adopt(candidate: VersionedDocument, source: DocumentSource): boolean {
        if (candidate.revision <= this.revision()) {
            this.countClash(candidate);
            return false;
        }
        try {
            this.active = { ...candidate, document: parseDocument(candidate.text) };
        }
        catch {
            this.counters.add("config_rejected");
            this.log.warn({ revision: candidate.revision, source }, "invalid document rejected");
            return false;
        }
        this.counters.add("config_adopted");
        this.counters.set("config_revision", candidate.revision);
        this.log.info({ revision: candidate.revision, source }, "document activated");
        this.events.emit("change", this.active);
        return true;
    }

    /** Two edits under one revision mean that the key-value service lost data. */
    private countClash(candidate: VersionedDocument): void {
        if (candidate.revision === this.active?.revision && candidate.editId !== this.active.editId) {
            this.counters.add("config_revision_clash");
        }
    }
}
