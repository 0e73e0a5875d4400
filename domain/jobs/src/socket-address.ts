import { isIPv4 } from "node:net";

const MAX_PORT = 65_535;
const PORT_DIGITS = /^[1-9]\d{0,4}$/;

/** True for an IPv4 address and a port, separated by a colon, to which a connection can be opened. */
export const isSocketAddress = (text: string): boolean => {
    const [host = "", port = "", ...rest] = text.split(":");
    return rest.length === 0 && isIPv4(host) && PORT_DIGITS.test(port) && Number(port) <= MAX_PORT;
};
