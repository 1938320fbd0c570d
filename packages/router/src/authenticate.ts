import type { OperatorsDocument, Team } from "@ospreyreel/config";
import { OspreyError } from "@ospreyreel/errors";
import { createHash } from "node:crypto";

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/;

/** A caller's team and the id of the key it used. */
export interface AuthenticatedCaller {
    readonly team: Team;
    readonly keyId: string;
}

const indexes = new WeakMap<OperatorsDocument, ReadonlyMap<string, AuthenticatedCaller>>();

const getIndex = (document: OperatorsDocument): ReadonlyMap<string, AuthenticatedCaller> => {
    const known = indexes.get(document);
    if (known !== undefined) {
        return known;
    }
    const pairs = document.teams.flatMap(team =>
        team.keys.map(key => [key.sha256.toLowerCase(), { team, keyId: key.id }] as const)
    );
    const index = new Map(pairs);
    indexes.set(document, index);
    return index;
};

/** Returns the caller that a bearer key belongs to; only hashes are compared. Throws `unauthorized`. */
export const authenticateCaller = (
    document: OperatorsDocument,
    authorization: string | undefined,
): AuthenticatedCaller => {
    const key = BEARER.exec(authorization ?? "")?.[1];
    if (key === undefined) {
        throw new OspreyError("an Authorization header with a bearer key is required", { result: "unauthorized" });
    }
    const caller = getIndex(document).get(createHash("sha256").update(key).digest("hex"));
    if (caller === undefined) {
        throw new OspreyError("the key is unknown", { result: "unauthorized" });
    }
    return caller;
};
