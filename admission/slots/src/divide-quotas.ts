import type { ProcessId, TeamName } from "@almondusher/fleet/ids";
import { divideFairly } from "./divide-fairly.js";

/** Quota of a team in a whole pool. */
export interface PoolQuota {
    readonly team: TeamName;
    readonly slots: number;
}

/** Requests of a team that run or wait at one member. */
export interface TeamWant {
    readonly member: ProcessId;
    readonly team: TeamName;
    readonly requests: number;
}

/** Part of a team's quota that one member may use. */
export interface QuotaPart {
    readonly member: ProcessId;
    readonly team: TeamName;
    readonly slots: number;
}

/**
 * Divides the quota of each team among the members by demand; what nobody asks for is divided evenly. The parts of a
 * team add up to its quota.
 */
export const divideQuotas = ({
    quotas,
    members,
    wants,
}: {
    readonly quotas: readonly PoolQuota[];
    readonly members: readonly ProcessId[];
    readonly wants: readonly TeamWant[];
}): readonly QuotaPart[] =>
    quotas.flatMap(({ team, slots }) => {
        const wanted = members.map(
            member => wants.find(want => want.member === member && want.team === team)?.requests ?? 0,
        );
        const asked = divideFairly(wanted, slots);
        const left = slots - asked.reduce((sum, count) => sum + count, 0);
        const spare = divideFairly(
            members.map(() => left),
            left,
        );
        return members.map((member, index) => ({ member, team, slots: (asked[index] ?? 0) + (spare[index] ?? 0) }));
    });
