import type { ProcessId, TeamName } from "@almondusher/fleet/ids";
import { maxMinFairShares } from "./max-min-fair-shares.js";

/** Quota of a team in a whole pool. */
export interface PoolQuota {
    readonly team: TeamName;
    readonly slots: number;
}

/** Running and queued requests of a team at one member. */
export interface MemberTeamDemand {
    readonly member: ProcessId;
    readonly team: TeamName;
    readonly requests: number;
}

/** Share of a team's quota that one member may use. */
export interface QuotaShare {
    readonly member: ProcessId;
    readonly team: TeamName;
    readonly slots: number;
}

/**
 * Divides the quota of each team among the members by demand, and the unused rest evenly. The shares of a team add up
 * to its quota.
 */
export const divideQuotas = ({
    quotas,
    members,
    wants,
}: {
    readonly quotas: readonly PoolQuota[];
    readonly members: readonly ProcessId[];
    readonly wants: readonly MemberTeamDemand[];
}): readonly QuotaShare[] =>
    quotas.flatMap(({ team, slots }) => {
        const demands = members.map(
            member => wants.find(want => want.member === member && want.team === team)?.requests ?? 0,
        );
        const demanded = maxMinFairShares(demands, slots);
        const unused = slots - demanded.reduce((sum, count) => sum + count, 0);
        const extra = maxMinFairShares(
            members.map(() => unused),
            unused,
        );
        return members.map((member, index) => ({ member, team, slots: (demanded[index] ?? 0) + (extra[index] ?? 0) }));
    });
