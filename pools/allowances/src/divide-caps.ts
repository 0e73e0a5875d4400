import type { PoolName } from "@almondusher/fleet/ids";
import type { TenantName } from "@almondusher/jobs/ids";
import type { Resources } from "@almondusher/jobs/job";
import type { Allowances, PoolUse, TenantAllowance, TenantUse } from "./allowances.js";
import {
    isLimit,
    isSame,
    isWithin,
    largerOf,
    limitedBy,
    minus,
    NOTHING,
    shareOf,
    smallerOf,
    sumOf,
    withoutNegative,
} from "./amounts.js";
import { shareOutCap, type Claim } from "./share-out-cap.js";

/** A pool as the fleet manager last read it. */
export interface DividedPool {
    readonly pool: PoolName;
    /**
     * What its row says; `unread` if the row was not read or not found, `not-reported` if an earlier version wrote it, which
     * knows no caps.
     */
    readonly use: PoolUse | "unread" | "not-reported";
}

/** What the division goes by. */
export interface DivisionInput {
    readonly caps: ReadonlyMap<TenantName, Resources>;
    readonly pools: readonly DividedPool[];
    /** Fencing token of the fleet lease, so that no two holders use the same revision. */
    readonly token: number;
}

// A holder makes fewer changes than this. A successor that finds no division, because an earlier version wrote the row in
// between, uses no revision that a pool may already go by.
const REVISIONS_PER_TOKEN = 2 ** 20;
// Reserved for a pool of which nothing is known yet: more than any cap, so that no pool gets a higher grant meanwhile.
const UNKNOWN_AMOUNT = 2 ** 40;
const UNKNOWN: Resources = { cpu: UNKNOWN_AMOUNT, memoryMb: UNKNOWN_AMOUNT, gpu: UNKNOWN_AMOUNT };
// Smaller parts of a cap are not moved: each change has to be stored, read and acknowledged.
const MIN_CHANGE = 0.02;

/** One pool's part of the division of one cap. */
interface Part {
    readonly before: TenantAllowance;
    /** Undefined if the pool does not report the tenant. */
    readonly use: TenantUse | undefined;
    /** The pool goes by the last change of its grant, and what it holds is known. */
    readonly isChangeable: boolean;
    readonly reserved: Resources;
    granted: Resources;
}

/**
 * Changes the division of the caps to what the pools want. For each tenant the sum of what is reserved stays within the cap;
 * while it is beyond a cap that was lowered, nothing is granted. A grant changes only once the pool goes by its last change,
 * so that the larger one of two grants, and of what the pool holds, is all that is reserved for it. Returns the same object
 * if nothing changes.
 */
export const divideCaps = (before: Allowances, input: DivisionInput): Allowances => {
    const revision = Math.max(before.revision + 1, input.token * REVISIONS_PER_TOKEN);
    const entries = [...input.caps].flatMap(([tenant, cap]) =>
        isLimit(cap) ? divideCap(before, { tenant, cap, revision, pools: input.pools }) : [],
    );
    return entries.length === before.entries.length &&
        entries.every((entry, index) => isSameEntry(entry, before.entries[index]))
        ? before
        : { revision, entries };
};

const isSameEntry = (entry: TenantAllowance, before: TenantAllowance | undefined): boolean =>
    before !== undefined &&
    entry.tenant === before.tenant &&
    entry.pool === before.pool &&
    entry.revision === before.revision &&
    isSame(entry.granted, before.granted) &&
    isSame(entry.reserved, before.reserved);

interface DividedCap {
    readonly tenant: TenantName;
    readonly cap: Resources;
    readonly revision: number;
    readonly pools: readonly DividedPool[];
}

const divideCap = (before: Allowances, { tenant, cap, revision, pools }: DividedCap): readonly TenantAllowance[] => {
    const known = before.entries.filter(entry => entry.tenant === tenant);
    // The runs of a pool that is not configured any more may go on, and no row shows their end.
    const former = known.filter(({ pool }) => pools.every(other => other.pool !== pool));
    const parts = pools.map(({ pool, use }) => {
        // The pool may go by a grant that is not in this division, until it acknowledges this one.
        const created = { tenant, pool, granted: NOTHING, reserved: limitedBy(cap, UNKNOWN), revision };
        return partOf(known.find(entry => entry.pool === pool) ?? created, use, cap);
    });
    // As below, an unknown amount does not count: it would keep back the whole cap for as long as the tenant has one.
    const formerReserved = former.map(({ reserved }) => reserved).filter(amount => !isUnknown(amount));
    const available = withoutNegative(limitedBy(cap, minus(cap, sumOf(formerReserved))));
    changeGrants(parts, available, cap);
    return [...former, ...parts.map(part => allowanceOf(part, revision))];
};

const partOf = (before: TenantAllowance, report: DividedPool["use"], cap: Resources): Part => {
    const use = typeof report === "string" ? undefined : report.tenants.find(entry => entry.tenant === before.tenant);
    const isChangeable = use !== undefined && typeof report !== "string" && report.acknowledged >= before.revision;
    const held = limitedBy(cap, largerOf(before.granted, use?.held ?? NOTHING));
    // A holder of an earlier version says nothing, so what it was reserved stays so; an unknown amount does not, or it would
    // keep back the whole cap for as long as that version runs.
    const isHeldKnown = isChangeable || (report === "not-reported" && isUnknown(before.reserved));
    return {
        before,
        use,
        isChangeable,
        reserved: isHeldKnown ? held : largerOf(limitedBy(cap, before.reserved), held),
        granted: limitedBy(cap, before.granted),
    };
};

const changeGrants = (parts: readonly Part[], available: Resources, cap: Resources): void => {
    const changeable = parts.filter(({ isChangeable }) => isChangeable);
    const reserved = parts.map(part => part.reserved).filter(amount => !isUnknown(amount));
    const excess = minus(sumOf(reserved), available);
    if (!isWithin(excess, NOTHING)) {
        // What one pool ended must not be started again by it while others hold more than the cap leaves them.
        changeable.forEach(part => (part.granted = withoutExcess(part.granted, excess)));
        return;
    }
    const isShort = ({ use, granted }: Part): boolean =>
        use !== undefined && !isWithin(limitedBy(cap, use.wanted), granted);
    const isUngranted = ({ granted }: Part): boolean => isSame(granted, NOTHING);
    if (!parts.some(part => isShort(part) || isUngranted(part))) {
        return;
    }
    const targets = shareOutCap(
        available,
        parts.map(part => claimOf(part, cap)),
    );
    const targetOf = (part: Part): Resources => targets[parts.indexOf(part)] ?? NOTHING;
    // However small a part is, a pool that cannot start a single task without it gets it.
    const minChange = parts.some(part => isShort(part) && !isWithin(claimOf(part, cap).unit, part.granted))
        ? 0
        : MIN_CHANGE;
    changeable.forEach(part => {
        const lowered = smallerOf(part.granted, targetOf(part));
        part.granted = shareOf(minus(part.granted, lowered), cap) < minChange ? part.granted : lowered;
    });
    let free = withoutNegative(minus(available, sumOf(parts.map(part => part.reserved))));
    changeable.forEach(part => {
        // What is reserved for the pool beyond its grant is free for it, and for no other one.
        const highest = sumOf([part.reserved, free]);
        const raised = largerOf(part.granted, smallerOf(targetOf(part), highest));
        if (shareOf(minus(raised, part.granted), cap) >= MIN_CHANGE || isWithin(targetOf(part), raised)) {
            part.granted = raised;
            free = withoutNegative(minus(free, withoutNegative(minus(raised, part.reserved))));
        }
    });
};

const isUnknown = ({ cpu, memoryMb, gpu }: Resources): boolean => Math.max(cpu, memoryMb, gpu) >= UNKNOWN_AMOUNT;

const withoutExcess = (granted: Resources, excess: Resources): Resources => ({
    cpu: excess.cpu > 0 ? 0 : granted.cpu,
    memoryMb: excess.memoryMb > 0 ? 0 : granted.memoryMb,
    gpu: excess.gpu > 0 ? 0 : granted.gpu,
});

const claimOf = ({ before, use }: Part, cap: Resources): Claim => ({
    wanted: limitedBy(cap, use?.wanted ?? NOTHING),
    unit: limitedBy(cap, use?.unit ?? NOTHING),
    changedAt: before.revision,
});

const allowanceOf = ({ before, granted, reserved }: Part, revision: number): TenantAllowance => ({
    tenant: before.tenant,
    pool: before.pool,
    granted,
    reserved: largerOf(reserved, granted),
    revision: isSame(before.granted, granted) ? before.revision : revision,
});
