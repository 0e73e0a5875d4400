import { encodeWaveState } from "@almondusher/platform-adapter/decode-wave";
import { PLATFORM_PART, STATUS_TABLE, WAVE_KEY_PREFIX } from "@almondusher/platform-adapter/platform-rows";
import type { TableStore } from "@almondusher/platform-adapter/table-store";
import type { DecisionLog } from "../process/decision-log.js";

/** State of a maintenance wave as published to the operator. */
type WaveState = "running" | "completed";

/** Publishes the states of maintenance waves in the store. */
export interface WaveStatusPublisher {
    /** Publishes a state. It replaces an earlier state of the wave that could not be stored yet. */
    readonly publish: (wave: number, state: WaveState) => void;
}

export interface WaveStatusPublisherOptions {
    readonly store: Pick<TableStore, "transact">;
    readonly log: DecisionLog;
    /** False once the lease is lost. */
    readonly isActive: () => boolean;
    /** False while another process may hold the lease: the states published by that process must not be overwritten. */
    readonly mayPublish: () => boolean;
    readonly sleep: (ms: number) => Promise<void>;
    /** Called once the completion of a wave is stored. */
    readonly onCompletionStored: (wave: number) => void;
}

const RETRY_DELAY_MS = 400;

export const createWaveStatusPublisher = ({
    store,
    log,
    isActive,
    mayPublish,
    sleep,
    onCompletionStored,
}: WaveStatusPublisherOptions): WaveStatusPublisher => {
    const states = new Map<number, WaveState>();
    const writing = new Set<number>();
    const write = async (wave: number): Promise<void> => {
        let stored: WaveState | undefined;
        while (isActive() && stored !== states.get(wave)) {
            if (!mayPublish()) {
                await sleep(RETRY_DELAY_MS);
                continue;
            }
            const state = states.get(wave) ?? "running";
            const row = { table: STATUS_TABLE, part: PLATFORM_PART, key: `${WAVE_KEY_PREFIX}${wave}` };
            const commit = await store.transact({
                // A delayed write, or one of a successor, must not replace a completion.
                expect: state === "running" ? [{ ...row, version: 0 }] : [],
                writes: [{ ...row, value: encodeWaveState(wave, state) }],
            });
            if (commit.kind === "committed") {
                stored = state;
                log("wave-state", { wave, state });
                if (state === "completed") {
                    onCompletionStored(wave);
                }
            } else if (commit.kind === "conflict") {
                stored = state;
            } else {
                await sleep(RETRY_DELAY_MS);
            }
        }
        writing.delete(wave);
    };
    return {
        publish: (wave, state) => {
            states.set(wave, state);
            if (!writing.has(wave)) {
                writing.add(wave);
                void write(wave);
            }
        },
    };
};
