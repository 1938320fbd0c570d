import type { Address } from "@ospreyreel/types";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";

/** Starts a server; resolves with the port actually bound, rejects where the address is in use. */
export const listen = async (server: Server, address: Address): Promise<Address> => {
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(address.port, address.host, () => {
            server.removeListener("error", reject);
            resolve();
        });
    });
    return { host: address.host, port: (server.address() as AddressInfo).port };
};
