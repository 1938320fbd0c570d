import { OspreyError } from "@ospreyreel/errors";
import { type Static, Type } from "@sinclair/typebox";
import { Ajv } from "ajv";

const MAX_MESSAGES = 1_000;
const MAX_REQUESTED_TOKENS = 1_000_000;
/** Levels of arrays and objects; deeper values can overflow the stack when serialized. */
const MAX_DEPTH = 64;

/** Only text has a token count bounded by its bytes. */
const TextPart = Type.Object({ type: Type.Literal("text"), text: Type.String() });

const Message = Type.Object({
    role: Type.String(),
    content: Type.Union([Type.String(), Type.Null(), Type.Array(TextPart)]),
    // A reference to an earlier audio response, whose token count is not bounded either.
    audio: Type.Optional(Type.Null()),
});

/** Fields that multiply the output, such as n or best_of, are bounded or absent: the worst case has to hold. */
const ModelBody = Type.Object(
    {
        model: Type.String({ minLength: 1, maxLength: 256 }),
        messages: Type.Optional(Type.Array(Message, { minItems: 1, maxItems: MAX_MESSAGES })),
        prompt: Type.Optional(Type.String()),
        stream: Type.Optional(Type.Boolean()),
        n: Type.Optional(Type.Literal(1)),
        max_tokens: Type.Optional(Type.Integer({ minimum: 1, maximum: MAX_REQUESTED_TOKENS })),
        max_completion_tokens: Type.Optional(Type.Integer({ minimum: 1, maximum: MAX_REQUESTED_TOKENS })),
        user: Type.Optional(Type.String({ maxLength: 256 })),
        stream_options: Type.Optional(Type.Object({ include_usage: Type.Optional(Type.Boolean()) })),
        stop: Type.Optional(Type.Unknown()),
        temperature: Type.Optional(Type.Number()),
        top_p: Type.Optional(Type.Number()),
        seed: Type.Optional(Type.Integer()),
        presence_penalty: Type.Optional(Type.Number()),
        frequency_penalty: Type.Optional(Type.Number()),
        response_format: Type.Optional(Type.Unknown()),
        tools: Type.Optional(Type.Array(Type.Unknown())),
        tool_choice: Type.Optional(Type.Unknown()),
        metadata: Type.Optional(Type.Unknown()),
    },
    { additionalProperties: false },
);

/** A validated body of a caller's request for a model. */
export type ModelBody = Static<typeof ModelBody>;

// Stops at the first error: a body can have an error in every few bytes.
const validate = new Ajv().compile(ModelBody);

// Replacement characters for invalid UTF-8 would make the prompt longer than the bytes it is charged for.
const decoder = new TextDecoder("utf-8", { fatal: true });

const parseJson = (body: Buffer): unknown => {
    try {
        return JSON.parse(decoder.decode(body));
    }
    catch (err) {
        throw new OspreyError("the body is not valid JSON in UTF-8", { result: "badRequest", cause: err });
    }
};

const isTooDeep = (value: unknown): boolean => {
    let level: readonly unknown[] = [value];
    for (let depth = 0; depth <= MAX_DEPTH; depth++) {
        level = level.flatMap((item): unknown[] =>
            typeof item === "object" && item !== null ? Object.values(item) : []
        );
        if (level.length === 0) {
            return false;
        }
    }
    return true;
};

/** Parses and validates a model request's body. Throws `badRequest` with the first error. */
export const parseModelBody = (body: Buffer, chat: boolean): ModelBody => {
    const value = parseJson(body);
    if (isTooDeep(value)) {
        throw new OspreyError(`the body is nested more than ${MAX_DEPTH} levels deep`, { result: "badRequest" });
    }
    if (!validate(value)) {
        const details = (validate.errors ?? []).map(fault =>
            `${fault.instancePath || "/"} ${fault.message ?? "is wrong"}`
        );
        throw new OspreyError("the body does not match the schema", { result: "badRequest", details });
    }
    const parsed = value as ModelBody;
    const field = chat ? "messages" : "prompt";
    if (parsed[field] === undefined) {
        throw new OspreyError(`the body has no "${field}"`, { result: "badRequest" });
    }
    return parsed;
};
