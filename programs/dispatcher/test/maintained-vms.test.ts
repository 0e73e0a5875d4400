import assert from "node:assert/strict";
import { test } from "node:test";
import { toId, type VmId } from "@almondusher/fleet/ids";
import { decodeLease, emptyLeaseContent, encodeLease, type WaveMaintenance } from "../src/leases/lease-rows.js";
import { maintainedVmsToStore } from "../src/fleet/maintained-vms.js";
import { addToRanges, isInRanges, type NumberRanges } from "@almondusher/fleet/number-ranges";

const MAX_ROW_BYTES = 65_536;
const VMS_OF_WAVE = 200;

const vmsOf = (wave: number): readonly VmId[] =>
    Array.from({ length: VMS_OF_WAVE }, (unused, index) => toId<VmId>(`vm-${wave}-${index}`));

const entryOf = (wave: number): WaveMaintenance => ({ wave, vms: vmsOf(wave) });

const rangesOf = (numbers: readonly number[]): NumberRanges => numbers.reduce(addToRanges, [] as NumberRanges);

const wavesUpTo = (last: number): readonly number[] => Array.from({ length: last }, (unused, index) => index + 1);

test("the lease row of the fleet does not outgrow the store after many waves", () => {
    const numbers = wavesUpTo(500);
    const completed = rangesOf(numbers);
    const maintained = maintainedVmsToStore({
        inherited: numbers.map(entryOf),
        waves: [{ number: 501, confirmed: new Set(vmsOf(501)) }],
        completed,
        areWavesRead: true,
    });
    const record = {
        ...emptyLeaseContent,
        holder: toId<VmId>("entry-1"),
        process: undefined,
        epoch: 1,
        runNumbersUpTo: undefined,
        maintained,
        completedWaves: completed,
    };
    const text = encodeLease(record);
    assert.ok(Buffer.byteLength(text) < MAX_ROW_BYTES / 2, `${Buffer.byteLength(text)} bytes`);
    assert.deepEqual(decodeLease(text)?.completedWaves, [[1, 500]]);
    assert.deepEqual(decodeLease(text)?.maintained.find(({ wave }) => wave === 501)?.vms, vmsOf(501));
});

test("the maintained VMs of waves that are not completed are all stored", () => {
    const waves = wavesUpTo(10).map(number => ({ number, confirmed: new Set(vmsOf(number)) }));
    const stored = maintainedVmsToStore({ inherited: [], waves, completed: [[3, 4]], areWavesRead: true });
    const open = [1, 2, 5, 6, 7, 8, 9, 10];
    assert.deepEqual(
        stored.filter(({ wave }) => open.includes(wave)),
        open.map(entryOf),
    );
});

test("a takeover does not drop the maintained VMs of waves whose request it has not read yet", () => {
    const known = { inherited: [entryOf(1), entryOf(2)], waves: [], completed: [] };
    assert.deepEqual(maintainedVmsToStore({ ...known, areWavesRead: false }), [entryOf(1), entryOf(2)]);
    assert.deepEqual(maintainedVmsToStore({ ...known, areWavesRead: true }), []);
});

// Such a version evacuates the VMs of a completed wave again if it finds none of them in the row.
test("a holder of an earlier version finds the VMs of the latest completed waves", () => {
    const stored = maintainedVmsToStore({
        inherited: [entryOf(1), entryOf(2)],
        waves: [{ number: 3, confirmed: new Set(vmsOf(3)) }],
        completed: [[1, 3]],
        areWavesRead: true,
    });
    assert.deepEqual(stored, [entryOf(3), entryOf(2)]);
});

test("a row of an earlier version, or with malformed ranges, has no completed waves", () => {
    const earlier = { ...emptyLeaseContent, epoch: 1, completedWaves: undefined };
    assert.deepEqual(decodeLease(JSON.stringify(earlier))?.completedWaves, []);
    assert.deepEqual(decodeLease(JSON.stringify({ ...earlier, completedWaves: [["1"]] }))?.completedWaves, []);
});

test("ranges contain exactly the numbers that were added, in any order and repeatedly", () => {
    const numbers = [7, 3, 5, 4, 9, 3, 1];
    const ranges = rangesOf(numbers);
    assert.deepEqual(ranges, [
        [1, 1],
        [3, 5],
        [7, 7],
        [9, 9],
    ]);
    assert.deepEqual(
        wavesUpTo(10).filter(number => isInRanges(ranges, number)),
        [1, 3, 4, 5, 7, 9],
    );
});
