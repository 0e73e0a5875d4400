/** Host and port of an address such as 10.0.0.7:8080 or [::1]:8080. */
export interface EndpointAddress {
    readonly host: string;
    readonly port: number;
}

/** Splits an address into host and port. */
export const parseAddress = (address: string): EndpointAddress => {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon).replace(/^\[|\]$/g, ""), port: Number(address.slice(colon + 1)) };
};
