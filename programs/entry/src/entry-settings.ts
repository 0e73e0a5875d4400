import { type DataCentreName, type VmId } from "@almondusher/fleet/ids";
import { nameSchema } from "@almondusher/fleet/name-schema";
import { platformSettingsSchema } from "@almondusher/platform/platform-settings";
import { listenSchema } from "@almondusher/settings/listen-schema";
import { z } from "zod";

const durationSchema = (defaultMs: number) => z.int().min(10).max(3_600_000).default(defaultMs);

const timingSchema = z.strictObject({
    /** Period of the tick, which checks running requests, grants, pools and readiness. */
    tickMs: durationSchema(100),
    /** Period of the exchange with each peer. */
    exchangeMs: durationSchema(1000),
    /** Period of reading the head revision from the platform. */
    pollMs: durationSchema(1000),
    /** Period of reading the platform's VM list. */
    vmListMs: durationSchema(2000),
    /** A peer that has not responded for this long is removed from the membership. */
    peerTimeoutMs: durationSchema(3500),
    /** A discovered peer URL that has failed for this long is removed. */
    contactRetentionMs: durationSchema(600_000),
    /** The entry is not ready after this long without contact to the platform or a peer. */
    isolationTimeoutMs: durationSchema(10_000),
    /** Timeout for opening a connection to an endpoint. */
    connectTimeoutMs: durationSchema(1000),
    /** Time from the stop signal until new connections are refused, for the load balancer to send traffic elsewhere. */
    stopGraceMs: durationSchema(5000),
    /** Lifetime of a slot grant. */
    grantTtlMs: durationSchema(15_000),
    /** An idle connection to an endpoint is closed after this time. */
    connectionIdleMs: durationSchema(30_000),
    /** A connection to an endpoint is not reused after this time. */
    connectionAgeMs: durationSchema(600_000),
    /** Non-idempotent requests reuse a connection only if it was used within this time. */
    nonIdempotentIdleMs: durationSchema(1000),
    /** Retention period of the claim of a non-idempotent request. */
    claimRetentionMs: z
        .int()
        .min(60_000)
        .default(7 * 24 * 3_600_000),
});

const limitsSchema = z.strictObject({
    /** Maximum size of the header section of a request, in bytes. */
    maxHeaderBytes: z.int().min(1024).max(1_048_576).default(32_768),
    /** Maximum number of queued requests per pool and urgency. */
    maxQueued: z.int().min(1).max(100_000).default(500),
    /** Bytes of a request body that are buffered for further attempts. */
    replayBytes: z.int().min(0).max(16_777_216).default(65_536),
    /** Maximum number of attempts of a request, including the first and excluding refusals by a full endpoint. */
    maxAttempts: z.int().min(1).max(10).default(3),
    /** Expected run time up to which a request may borrow unused slots of another urgency class. */
    borrowRunTimeMs: durationSchema(500),
    /** Minimum time without progress after which an idempotent request is hedged. */
    hedgeMinMs: durationSchema(1000),
    /** Multiple of the route's 95th-percentile run time after which an idempotent request is hedged. */
    hedgeFactor: z.number().min(1).max(100).default(3),
    /** Maximum share of a pool's VMs that may be ejected at the same time. */
    maxEjectedShare: z.number().min(0).max(1).default(0.25),
    /** Maximum number of open connections of callers; derived from the memory and the descriptors if absent. */
    maxConnections: z.int().min(1).optional(),
    /** Bytes held for unanswered requests over all connections; derived from the memory if absent. */
    maxHeldBytes: z.int().min(1_048_576).optional(),
    /** Requests of one connection that are in work at the same time; further ones wait. */
    maxRequestsInWork: z.int().min(1).max(1000).default(2),
    /** Time from the first byte of a request's head to its last one. */
    headTimeoutMs: durationSchema(30_000),
    /** Time without a further byte of an unfinished body, or without a byte of an answer being taken. */
    stallTimeoutMs: durationSchema(30_000),
});

/** Schema of the settings file of almondusher-entry. */
export const entrySettingsSchema = z.strictObject({
    vmId: nameSchema<VmId>(),
    dataCentre: nameSchema<DataCentreName>(),
    /** Address for callers and for the load balancer's readiness check. */
    listen: listenSchema,
    /** Address for the other almondusher processes. */
    peerListen: listenSchema,
    /** Address for operators. */
    operatorListen: listenSchema,
    /** Peer URLs of some other entries; further ones are discovered through them and the platform. */
    peers: z.array(z.url({ protocol: /^http$/ })).default([]),
    peerSecretFile: z.string(),
    operatorSecretFile: z.string(),
    platform: platformSettingsSchema,
    logLevel: z.enum(["trace", "debug", "info", "warn", "error", "fatal"]).default("info"),
    timing: timingSchema.prefault({}),
    limits: limitsSchema.prefault({}),
});

/** Parsed settings of almondusher-entry, with the defaults of absent settings. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
