/** A value read from JSON with comments. */
export interface CommentedJson {
    readonly value: unknown;
    /** Whether the text has comments, which the form cannot preserve. */
    readonly hasComments: boolean;
}

/** Matches strings first, so that comment markers and commas inside them are left alone. */
const STRINGS_AND_COMMENTS = /"(?:[^"\\]|\\.)*"|\/\/[^\r\n]*|\/\*[\s\S]*?\*\//g;

const STRINGS_AND_TRAILING_COMMAS = /"(?:[^"\\]|\\.)*"|,(?=\s*[}\]])/g;

/** Parses JSON that may contain comments and trailing commas; throws a SyntaxError if it is invalid. */
export const readCommentedJson = (text: string): CommentedJson => {
    let hasComments = false;
    const withoutComments = text.replace(STRINGS_AND_COMMENTS, token => {
        if (token.startsWith("\"")) {
            return token;
        }
        hasComments = true;
        return " ";
    });
    const json = withoutComments.replace(STRINGS_AND_TRAILING_COMMAS, token => (token === "," ? "" : token));
    return { value: JSON.parse(json) as unknown, hasComments };
};
