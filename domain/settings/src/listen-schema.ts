import { z } from "zod";

const MAX_PORT = 65_535;

/** Schema of an address to listen on: an IP address and a port; port 0 takes a free one. */
export const listenSchema = z.strictObject({
    ip: z.union([z.ipv4(), z.ipv6()], { error: "must be an IP address" }).default("127.0.0.1"),
    port: z.int().min(0).max(MAX_PORT),
});

/** An address to listen on. */
export type Listen = z.infer<typeof listenSchema>;
