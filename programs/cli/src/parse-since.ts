import { FleetError } from "@almondusher/fleet/fleet-error";

const MS_BY_UNIT: Readonly<Record<string, number>> = { s: 1_000, m: 60_000, h: 3_600_000, d: 86_400_000 };

/**
 * Parses the value of --since, a duration before now or a time in ISO 8601, to milliseconds since 1970.
 * Throws `not-found` for anything else and for times in the future.
 */
export const parseSince = (text: string, nowMs: number): number => {
    const duration = /^(\d+)([smhd])$/.exec(text);
    const unitMs = MS_BY_UNIT[duration?.[2] ?? ""];
    const fromMs = unitMs === undefined ? Date.parse(text) : nowMs - Number(duration?.[1]) * unitMs;
    if (!Number.isFinite(fromMs) || fromMs > nowMs || fromMs < 0) {
        throw new FleetError("not-found", {
            message: `--since ${text} is not a time in the past`,
            hint: "give a duration such as 90s, 15m, 2h, 1d, or a time in ISO 8601",
        });
    }
    return fromMs;
};
