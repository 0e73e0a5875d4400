import { type DataCentreName, type VmId } from "@almondusher/fleet/ids";
import { nameSchema } from "@almondusher/fleet/name-schema";
import { platformSettingsSchema } from "@almondusher/platform/platform-settings";
import { listenSchema } from "@almondusher/settings/listen-schema";
import { z } from "zod";

const durationSchema = (defaultMs: number) => z.int().min(10).max(3_600_000).default(defaultMs);

const timingSchema = z.strictObject({
    /** Period of the systems that run over the tables. */
    tickMs: durationSchema(100),
    /** Period of the exchange with each peer. */
    exchangeMs: durationSchema(1000),
    /** Period of reading the head revision from the platform. */
    pollMs: durationSchema(1000),
    /** Period of reading the platform's VM list. */
    vmListMs: durationSchema(2000),
    /** A peer that has not answered for this long has left. */
    peerTimeoutMs: durationSchema(3500),
    /** A learned peer URL that has failed for this long is dropped. */
    contactRetentionMs: durationSchema(600_000),
    /** Without platform and peers for this long the entry is not ready. */
    isolationTimeoutMs: durationSchema(10_000),
    /** Longest time to open a connection to an endpoint. */
    connectTimeoutMs: durationSchema(1000),
    /** Time from the planned stop until new connections are refused, so that the balancer moves away first. */
    stopGraceMs: durationSchema(5000),
    /** Lifetime of a grant of slots. */
    grantTtlMs: durationSchema(15_000),
    /** An idle connection to an endpoint is closed after this time. */
    connectionIdleMs: durationSchema(30_000),
    /** A connection to an endpoint is not reused after this time. */
    connectionAgeMs: durationSchema(600_000),
    /** Non-idempotent requests reuse a connection only if it was used within this time. */
    nonIdempotentIdleMs: durationSchema(1000),
    /** How long the claim of a non-idempotent request is kept. */
    claimRetentionMs: z
        .int()
        .min(60_000)
        .default(7 * 24 * 3_600_000),
});

const limitsSchema = z.strictObject({
    /** Longest header section of a request, in bytes. */
    maxHeaderBytes: z.int().min(1024).max(1_048_576).default(32_768),
    /** Requests that may wait in one pool's queue. */
    maxQueued: z.int().min(1).max(100_000).default(500),
    /** Bytes of a request body kept for another attempt. */
    replayBytes: z.int().min(0).max(16_777_216).default(65_536),
    /** Attempts of one request at most, the first included. */
    maxAttempts: z.int().min(1).max(10).default(3),
    /** Learned run time up to which a request may borrow an unused share of slots. */
    borrowRunTimeMs: durationSchema(500),
    /** Shortest silence after which an idempotent request gets a second attempt. */
    hedgeMinMs: durationSchema(1000),
    /** Multiple of the learned high run time of the route after which it gets one. */
    hedgeFactor: z.number().min(1).max(100).default(3),
    /** Largest share of a pool's VMs that may be ejected at once. */
    maxEjectedShare: z.number().min(0).max(1).default(0.25),
});

/** Schema of the settings file of almondusher-entry. */
export const entrySettingsSchema = z.strictObject({
    vmId: nameSchema<VmId>(),
    dataCentre: nameSchema<DataCentreName>(),
    /** Port for callers and for the balancer's readiness check. */
    listen: listenSchema,
    /** Port for the other processes of almondusher. */
    peerListen: listenSchema,
    /** Port for operators. */
    operatorListen: listenSchema,
    /** Peer ports of some other entries; further ones are learned. */
    peers: z.array(z.url({ protocol: /^http$/ })).default([]),
    peerSecretFile: z.string(),
    operatorSecretFile: z.string(),
    platform: platformSettingsSchema,
    logLevel: z.enum(["trace", "debug", "info", "warn", "error", "fatal"]).default("info"),
    timing: timingSchema.prefault({}),
    limits: limitsSchema.prefault({}),
});

/** Settings of almondusher-entry. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
