import assert from "node:assert/strict";
import { test } from "node:test";
import type { PoolName, ProcessId, VmId } from "@almondusher/fleet/ids";
import { ABSENCE_CHECK_INTERVAL_MS, createLeaseAbsenceLog } from "../src/leases/lease-absence-log.js";
import { emptyLeaseContent, leaseKey, type LeaseSubject } from "../src/leases/lease-rows.js";
import type { LeaseObservation } from "../src/leases/lease-view.js";

const subjectOf = (name: string): LeaseSubject => ({ kind: "pool", pool: name as PoolName });

const observationOf = (version: number, holder: string | undefined): LeaseObservation => ({
    version,
    record: {
        ...emptyLeaseContent,
        holder: holder as VmId | undefined,
        process: holder as ProcessId | undefined,
        epoch: 1,
        runNumbersUpTo: undefined,
    },
    unchangedMs: 0,
    readAtMs: 0,
});

/** Checks the leases once a second; returns the fields of the lines, with the time of each, and the counted leases. */
const checkFor = (
    seconds: number,
    subjects: readonly LeaseSubject[],
    observationAt: (key: string, second: number) => LeaseObservation | undefined,
) => {
    const lines: Readonly<Record<string, unknown>>[] = [];
    let counted = 0;
    let second = 0;
    const absenceLog = createLeaseAbsenceLog({
        context: {
            log: (event, fields) => lines.push({ event, second, ...fields }),
            metrics: { count: () => counted++, record: () => undefined } as never,
            monotonicMs: () => second * ABSENCE_CHECK_INTERVAL_MS,
        },
        view: { observation: key => observationAt(key, second) },
    });
    for (; second <= seconds; second++) {
        absenceLog.check(subjects);
    }
    return { lines, counted };
};

// While nobody holds a pool nothing of it starts, and no holder logs why.
test("a pool that nobody holds is logged by those that read its lease, at growing intervals", () => {
    const observation = { ...observationOf(7, "entry-1"), readAtMs: 1000 };
    const { lines, counted } = checkFor(25, [subjectOf("a")], () => observation);
    assert.deepEqual(
        lines.map(({ second }) => second),
        [5, 10, 20],
    );
    assert.equal(counted, 21);
    assert.deepEqual(lines[0], {
        event: "lease-without-holder",
        second: 5,
        lease: leaseKey(subjectOf("a")),
        reason: "not-renewed",
        holder: "entry-1",
        waitedMs: 5000,
        unreadMs: 4000,
    });
});

test("a lease that is renewed does not count as one without a holder", () => {
    const { lines, counted } = checkFor(30, [subjectOf("a")], (unusedKey, second) => observationOf(second, "entry-1"));
    assert.deepEqual({ lines, counted }, { lines: [], counted: 0 });
});

test("many pools without a holder do not fill the log", () => {
    const subjects = Array.from({ length: 96 }, (unused, index) => subjectOf(`pool-${index}`));
    const { lines } = checkFor(5, subjects, () => observationOf(3, undefined));
    assert.equal(lines.length, 5);
    assert.ok(lines.every(({ reason }) => reason === "released"));
});
