import { z } from "zod";

const MAX_PORT = 65_535;

/** Schema of a listen address: an IP address and a port; port 0 selects a free port. */
export const listenSchema = z.strictObject({
    ip: z.union([z.ipv4(), z.ipv6()], { error: "must be an IP address" }).default("127.0.0.1"),
    port: z.int().min(0).max(MAX_PORT),
});

/** IP address and port that a server listens on; port 0 selects a free port. */
export type ListenAddress = z.infer<typeof listenSchema>;
