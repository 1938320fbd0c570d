import type { Target } from "../targets/target.js";

/** Options of {@link ZoneRegions}. */
export interface ZoneRegionsOptions {
    /** Region of each availability zone, by the settings. */
    readonly zones: Readonly<Record<string, ZoneSetting>>;
    /** Region of the zones for which the settings name none: that of this instance. */
    readonly ownRegion: string;
}

/** A zone in the settings: the name of its region, or an object with that name. */
export type ZoneSetting = string | { readonly region?: string | undefined; };

/** Tells in which region a target is. */
export class ZoneRegions {
    private readonly regions: ReadonlyMap<string, string>;

    constructor(private readonly opts: ZoneRegionsOptions) {
        this.regions = new Map(
            Object.entries(opts.zones).map(([zone, setting]) => [
                zone,
                typeof setting === "string" ? setting : setting.region ?? opts.ownRegion,
            ]),
        );
    }

    /** Region of a target's availability zone. */
    getRegion({ availabilityZone }: Pick<Target, "availabilityZone">): string {
        return this.regions.get(availabilityZone) ?? this.opts.ownRegion;
    }
}
