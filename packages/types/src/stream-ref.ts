/** Location of a request's stream at its engine, which retains the stream for some time after its end. */
export interface StreamRef {
    /** Name of the target in the operators' document. */
    readonly target: string;
    /** Base URL of the target. */
    readonly targetUrl: string;
    /** Id of the stream at the engine. */
    readonly streamId: string;
    /** Hash of the request's body, to distinguish a retry from another request with the same key. */
    readonly fingerprint: string;
}
