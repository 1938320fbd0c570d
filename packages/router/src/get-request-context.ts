import { findRule, type ModelOffering, type Offering, type OperatorsDocument, pickOffering } from "@ospreyreel/config";
import { OspreyError } from "@ospreyreel/errors";
import { getPrefixHash } from "@ospreyreel/targets";
import { createHash, randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { authenticateCaller, type AuthenticatedCaller } from "./authenticate.js";
import { type ModelBody, parseModelBody } from "./model-request.js";
import type { RequestContext } from "./request-context.js";

const SERVICE_PATH = /^\/v1\/services\/([A-Za-z0-9._-]+)(\/.*)?$/;
const MODEL_METHODS: ReadonlySet<string> = new Set(["POST"]);
const SERVICE_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]);
const MODEL_PATHS: Readonly<Record<string, boolean>> = { "/v1/chat/completions": true, "/v1/completions": false };
/** 128 bits of the hash, since it is sent with each copy and bill. */
const FINGERPRINT_CHARS = 22;
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/;
const DEFAULT_PRIORITY = 5;
const DEFAULT_DEADLINE_MS = 30_000;
/** Tokens that an engine's chat template may add beyond the request's own bytes. */
const MAX_TEMPLATE_TOKENS = 64;

/** Input of {@link getRequestContext}. */
export interface ContextInput {
    readonly req: IncomingMessage;
    readonly path: string;
    readonly query: string;
    readonly body: Buffer;
    readonly document: OperatorsDocument;
    readonly requestId: string;
    readonly nowMs: number;
    /** Whether another instance is known to have forwarded the request. */
    readonly forwarded: boolean;
}

/** Whether a path takes requests for models or services. */
export const isRequestPath = (path: string): boolean => path in MODEL_PATHS || SERVICE_PATH.test(path);

const getHeader = (req: IncomingMessage, name: string): string | undefined => {
    const value = req.headers[name];
    return Array.isArray(value) ? value[0] : value;
};

const getRequestKey = (req: IncomingMessage): string | undefined => {
    const key = getHeader(req, "idempotency-key");
    if (key !== undefined && !IDEMPOTENCY_KEY.test(key)) {
        throw new OspreyError("Idempotency-Key must be 1 to 255 visible characters", { result: "badRequest" });
    }
    return key;
};

const findOffering = (
    document: OperatorsDocument,
    caller: AuthenticatedCaller,
    requestedName: string,
    callerId: string,
): Offering => {
    const rule = findRule(document, caller.team.name, requestedName);
    const name = rule === undefined ? undefined : pickOffering(rule, callerId);
    const offering = document.offerings.find(candidate => candidate.name === name);
    if (offering === undefined) {
        throw new OspreyError(`no rule lets this team reach "${requestedName}"`, { result: "forbidden" });
    }
    return offering;
};

const createTargetBody = (body: ModelBody, offering: ModelOffering, requestId: string): Buffer => {
    const { max_completion_tokens: maxCompletionTokens, max_tokens: maxTokens, ...rest } = body;
    const cap = Math.min(offering.maxTokens, maxCompletionTokens ?? maxTokens ?? offering.maxTokens);
    const model = [offering.model, offering.version, offering.adapter].filter(part => part !== undefined).join("@");
    const usage = body.stream === true ? { stream_options: { include_usage: true } } : {};
    const priority = offering.priority ?? DEFAULT_PRIORITY;
    return Buffer.from(JSON.stringify({ ...rest, ...usage, model, max_tokens: cap, priority, request_id: requestId }));
};

/** Indentation in spaces that an engine's template may use for tools. */
const TEMPLATE_INDENT_SPACES = 4;

/**
 * Returns an upper bound of a prompt's tokens: a token is at least one byte, whatever the tokenizer. The longer of the
 * received and the rewritten body counts, and fields that a template may indent count as indented.
 */
const getMaxPromptTokens = (input: ContextInput, body: ModelBody): number => {
    const rewrittenBytes = Buffer.byteLength(JSON.stringify(body));
    const { tools = [], tool_choice: toolChoice = "", response_format: responseFormat = "" } = body;
    const templateValues = [tools, toolChoice, responseFormat];
    const indentedBytes = Buffer.byteLength(JSON.stringify(templateValues, undefined, TEMPLATE_INDENT_SPACES));
    const indentBytes = indentedBytes - Buffer.byteLength(JSON.stringify(templateValues));
    const hasTemplateValues = body.tools !== undefined || body.tool_choice !== undefined
        || body.response_format !== undefined;
    return Math.max(input.body.length, rewrittenBytes) + (hasTemplateValues ? indentBytes : 0) + MAX_TEMPLATE_TOKENS;
};

const checkMethod = (req: IncomingMessage, allowed: ReadonlySet<string>): string => {
    const { method = "GET" } = req;
    if (!allowed.has(method)) {
        throw new OspreyError(`the path does not support ${method}`, { result: "badRequest" });
    }
    return method;
};

type OfferingContext = Pick<
    RequestContext,
    | "offering"
    | "idempotent"
    | "targetPath"
    | "method"
    | "body"
    | "stream"
    | "wantsUsage"
    | "worstCaseTokens"
    | "prefixHash"
>;

const getPromptText = (body: ModelBody): string =>
    (body.messages ?? []).map(({ content }) => typeof content === "string" ? content : JSON.stringify(content)).join(
        "\n",
    );

const getModelContext = (input: ContextInput, caller: AuthenticatedCaller, chat: boolean): OfferingContext => {
    const method = checkMethod(input.req, MODEL_METHODS);
    const parsed = parseModelBody(input.body, chat);
    const offering = findOffering(input.document, caller, parsed.model, parsed.user ?? caller.keyId);
    if (offering.kind !== "model") {
        throw new OspreyError(`"${parsed.model}" is a service; call it under /v1/services`, { result: "badRequest" });
    }
    const requested = parsed.max_completion_tokens ?? parsed.max_tokens ?? offering.maxTokens;
    const prompt = chat ? getPromptText(parsed) : parsed.prompt ?? "";
    return {
        offering,
        idempotent: offering.idempotent ?? true,
        targetPath: input.path,
        method,
        body: createTargetBody(parsed, offering, input.requestId),
        stream: parsed.stream ?? false,
        wantsUsage: parsed.stream_options?.include_usage ?? false,
        worstCaseTokens: getMaxPromptTokens(input, parsed) + Math.min(offering.maxTokens, requested),
        prefixHash: getPrefixHash(prompt),
    };
};

const getServiceContext = (input: ContextInput, caller: AuthenticatedCaller): OfferingContext => {
    const method = checkMethod(input.req, SERVICE_METHODS);
    const match = SERVICE_PATH.exec(input.path);
    const offering = findOffering(input.document, caller, match?.[1] ?? "", caller.keyId);
    if (offering.kind !== "service") {
        throw new OspreyError(`"${match?.[1]}" is a model, not a service`, { result: "badRequest" });
    }
    return {
        offering,
        idempotent: offering.idempotent ?? false,
        targetPath: (match?.[2] ?? "/") + input.query,
        method,
        body: input.body,
        stream: false,
        wantsUsage: false,
        worstCaseTokens: offering.tokensPerCall ?? 0,
        prefixHash: undefined,
    };
};

/** Validates a request and selects its offering. Throws `unauthorized`, `forbidden` or `badRequest`. */
export const getRequestContext = (input: ContextInput): RequestContext => {
    const { req, path, body, document, requestId, nowMs } = input;
    const caller = authenticateCaller(document, getHeader(req, "authorization"));
    const chat = MODEL_PATHS[path];
    const offeringContext = chat === undefined
        ? getServiceContext(input, caller)
        : getModelContext(input, caller, chat);
    const key = getRequestKey(req);
    const fingerprint = createHash("sha256").update(`${req.method} ${path}${input.query}\n`).update(body).digest(
        "base64url",
    ).slice(0, FINGERPRINT_CHARS);
    return {
        ...offeringContext,
        requestId,
        team: caller.team,
        requestKey: key ?? requestId,
        keyed: key !== undefined,
        fingerprint,
        contentType: getHeader(req, "content-type") ?? "application/json",
        priority: offeringContext.offering.priority ?? DEFAULT_PRIORITY,
        deadlineMs: nowMs + (offeringContext.offering.deadlineMs ?? DEFAULT_DEADLINE_MS),
        forwarded: input.forwarded,
    };
};

/** Returns a new request id. */
export const createRequestId = (): string => randomUUID();
