/** Environment variable that names the proxies of an instance's connections: addresses by address, as JSON. */
export const REDIRECTS_VARIABLE = "OSPREYREEL_RIG_REDIRECTS";
