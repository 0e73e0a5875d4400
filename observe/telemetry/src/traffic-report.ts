import { FleetError } from "@almondusher/fleet/fleet-error";
import type { PoolName, ProcessId, RouteName, VmId } from "@almondusher/fleet/ids";
import { nameSchema } from "@almondusher/fleet/name-schema";
import { causes } from "@almondusher/fleet/verdict";
import { z } from "zod";
import { type TrafficLog, listTraffic } from "./traffic-log.js";
import type { OperatorRoute } from "./operator-server.js";
import { listRevisionUse, type RevisionUseLog } from "./revision-use.js";

const timeSchema = z.number().min(0);
const countSchema = z.int().min(0);

/** Schema of the response of GET /traffic: the data of one process that `explain` needs. */
export const trafficReportSchema = z.object({
    failures: z.array(
        z.object({
            cause: z.enum(causes),
            route: nameSchema<RouteName>().optional(),
            pool: nameSchema<PoolName>().optional(),
            vm: nameSchema<VmId>().optional(),
            revision: countSchema,
            process: nameSchema<ProcessId>(),
            minuteMs: timeSchema,
            firstAtMs: timeSchema,
            lastAtMs: timeSchema,
            count: countSchema,
        }),
    ),
    arrivals: z.array(
        z.object({
            route: nameSchema<RouteName>().optional(),
            pool: nameSchema<PoolName>().optional(),
            process: nameSchema<ProcessId>(),
            minuteMs: timeSchema,
            count: countSchema,
            peakPerSecond: countSchema,
        }),
    ),
    uses: z.array(z.object({ process: nameSchema<ProcessId>(), revision: countSchema, sinceMs: timeSchema })),
});

/** Creates the operator route GET /traffic?from=MS&to=MS. */
export const trafficRoute = (log: TrafficLog, use: RevisionUseLog): OperatorRoute => ({
    method: "GET",
    path: "/traffic",
    handle: ({ query }) => {
        const fromMs = readTime(query, "from", 0);
        const toMs = readTime(query, "to", Number.MAX_SAFE_INTEGER);
        return { status: 200, body: { ...listTraffic(log, fromMs, toMs), uses: listRevisionUse(use) } };
    },
});

const readTime = (query: URLSearchParams, name: string, fallback: number): number => {
    const text = query.get(name) ?? undefined;
    const value = text === undefined ? fallback : Number(text);
    if (!Number.isFinite(value) || text === "") {
        throw new FleetError("bad-message", {
            message: `${name} is ${JSON.stringify(text)}`,
            hint: "give milliseconds since 1970",
        });
    }
    return value;
};
