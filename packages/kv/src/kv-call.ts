/** One call to the KV service, for metrics. */
export interface KvCall {
    readonly kind: "read" | "list" | "watch" | "write";
    /** Key or prefix that it names first. */
    readonly key: string;
}
