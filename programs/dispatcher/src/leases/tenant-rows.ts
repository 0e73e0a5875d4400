import { z } from "zod";
import type { Allowances, PoolUse, TenantAllowance } from "@almondusher/allowances/allowances";
import type { PoolName } from "@almondusher/fleet/ids";
import type { TenantName } from "@almondusher/jobs/ids";
import type { Resources } from "@almondusher/jobs/job";

/** CPU in thousandths of a core, memory in megabytes and accelerators. */
type StoredAmount = readonly [number, number, number];

/** A division of caps as stored in the lease row of the fleet: for each tenant its pools, with the granted and reserved amounts. */
export interface StoredAllowances {
    readonly revision: number;
    readonly tenants: readonly (readonly [
        string,
        readonly (readonly [pool: string, revision: number, granted: StoredAmount, reserved: StoredAmount])[],
    ])[];
}

/** What a pool says of the tenants with caps, as stored in its lease row: what is held and wanted, and the next task. */
export interface StoredPoolUse {
    readonly acknowledged: number;
    readonly tenants: readonly (readonly [
        tenant: string,
        held: StoredAmount,
        wanted: StoredAmount,
        unit: StoredAmount,
    ])[];
}

const amountSchema = z.tuple([z.number().min(0), z.number().min(0), z.number().min(0)]);
const NOTHING_KNOWN: StoredPoolUse = { acknowledged: 0, tenants: [] };

/** Undefined if absent, as in rows of earlier versions and without tenants, or malformed. */
export const storedAllowancesSchema = z
    .object({
        revision: z.int(),
        tenants: z.array(z.tuple([z.string(), z.array(z.tuple([z.string(), z.int(), amountSchema, amountSchema]))])),
    })
    .optional()
    .catch(undefined);

/** Undefined if absent, as in rows of earlier versions and without tenants; names no tenant if malformed. */
export const storedPoolUseSchema = z
    .object({
        acknowledged: z.int(),
        tenants: z.array(z.tuple([z.string(), amountSchema, amountSchema, amountSchema])),
    })
    .optional()
    .catch(NOTHING_KNOWN as never);

// Rounded up, since an amount that is held must not be stored as less.
const storedAmount = ({ cpu, memoryMb, gpu }: Resources): StoredAmount => [
    Math.ceil(cpu),
    Math.ceil(memoryMb),
    Math.ceil(gpu),
];
const amountOf = ([cpu, memoryMb, gpu]: StoredAmount): Resources => ({ cpu, memoryMb, gpu });

/** Encodes a division; the order of its entries is kept within a tenant. */
export const storedAllowances = ({ revision, entries }: Allowances): StoredAllowances => ({
    revision,
    tenants: [...new Set(entries.map(({ tenant }) => tenant))].map(tenant => [
        tenant,
        entries
            .filter(entry => entry.tenant === tenant)
            .map(entry => [entry.pool, entry.revision, storedAmount(entry.granted), storedAmount(entry.reserved)]),
    ]),
});

/** The inverse of `storedAllowances`. */
export const allowancesOf = ({ revision, tenants }: StoredAllowances): Allowances => ({
    revision,
    entries: tenants.flatMap(([tenant, pools]) =>
        pools.map(([pool, changedAt, granted, reserved]): TenantAllowance => ({
            tenant: tenant as TenantName,
            pool: pool as PoolName,
            granted: amountOf(granted),
            reserved: amountOf(reserved),
            revision: changedAt,
        })),
    ),
});

/** Encodes what a pool says. */
export const storedPoolUse = ({ acknowledged, tenants }: PoolUse): StoredPoolUse => ({
    acknowledged,
    tenants: tenants.map(({ tenant, held, wanted, unit }) => [
        tenant,
        storedAmount(held),
        storedAmount(wanted),
        storedAmount(unit),
    ]),
});

/** The inverse of `storedPoolUse`. */
export const poolUseOf = ({ acknowledged, tenants }: StoredPoolUse): PoolUse => ({
    acknowledged,
    tenants: tenants.map(([tenant, held, wanted, unit]) => ({
        tenant: tenant as TenantName,
        held: amountOf(held),
        wanted: amountOf(wanted),
        unit: amountOf(unit),
    })),
});
