import { request } from "undici";
import type { DesiredState, LoadedModel } from "./order-book.js";

const toName = ({ model, adapter, version }: LoadedModel): string =>
    [model, adapter, version].filter(part => part !== undefined).join("/");

/** Loads the weights that a desired state needs and the engine has not got yet. */
export class WeightLoader {
    private loaded = new Set<string>();

    constructor(private readonly weightStoreUrl: string) {}

    /** Loads what is missing; false where the store refuses, with what came before the refusal kept. */
    async load(desired: DesiredState): Promise<boolean> {
        const names = desired.models.map(toName);
        for (const name of names.filter(other => !this.loaded.has(other))) {
            if (!await this.fetch(name)) {
                return false;
            }
            this.loaded.add(name);
        }
        this.loaded = new Set(names);
        return true;
    }

    private async fetch(name: string): Promise<boolean> {
        if (this.weightStoreUrl === "") {
            return true;
        }
        const res = await request(`${this.weightStoreUrl}/weights/${encodeURIComponent(name)}`);
        await res.body.dump();
        return res.statusCode === 200;
    }
}
