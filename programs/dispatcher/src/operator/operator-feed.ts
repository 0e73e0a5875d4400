import { EventEmitter } from "node:events";
import type { Configuration } from "@almondusher/jobs/configuration";
import { decodeConfiguration } from "@almondusher/platform-adapter/decode-configuration";
import { decodeWave, type WaveRequest } from "@almondusher/platform-adapter/decode-wave";
import {
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    PLATFORM_PART,
    WAVE_KEY_PREFIX,
} from "@almondusher/platform-adapter/platform-rows";
import type { Row } from "@almondusher/platform-adapter/table-store";
import { repeatWhileActive } from "../process/contain-errors.js";
import { sleep, type DispatcherContext } from "../process/dispatcher-context.js";
import { readAll } from "../store/read-all.js";

/** A requested maintenance wave and the monotonic time at which this process first read it. */
export interface RequestedWave {
    readonly request: WaveRequest;
    readonly firstReadAtMs: number;
}

/** Configuration and maintenance waves written by the operator, as last read by this process. */
export interface OperatorFeed {
    readonly configuration: () => Configuration | undefined;
    readonly waves: () => readonly RequestedWave[];
    /** Emits `configuration` and `wave`. */
    readonly events: EventEmitter;
    readonly close: () => void;
}

// Short enough to detect an unresponsive connection before a new configuration has to take effect.
const LONG_POLL_MS = 1200;
const RETRY_DELAY_MS = 100;

/**
 * Reads the operator's table and follows its changes. A configuration is ignored unless its version is higher than that
 * of the current one.
 */
export const followOperatorTable = (context: DispatcherContext): OperatorFeed => {
    const events = new EventEmitter();
    const waves = new Map<number, RequestedWave>();
    let configuration: Configuration | undefined;
    let closed = false;
    const apply = ({ key, value, deleted }: Row): void => {
        if (deleted) {
            return;
        }
        if (key === CONFIGURATION_KEY) {
            const decoded = readConfiguration(context, value);
            if (decoded !== undefined && decoded.version > (configuration?.version ?? -1)) {
                configuration = decoded;
                logAdopted(context, decoded);
                events.emit("configuration");
            }
        } else if (key.startsWith(WAVE_KEY_PREFIX)) {
            const wave = readWave(context, key, value);
            if (wave !== undefined && !waves.has(wave.wave)) {
                waves.set(wave.wave, { request: wave, firstReadAtMs: context.monotonicMs() });
                context.log("wave-requested", { ...wave, vms: wave.vms.length });
                events.emit("wave");
            }
        }
    };
    let after: number | undefined;
    const load = async (): Promise<void> => {
        const all = await readAll(context.store, { table: OPERATOR_TABLE, part: PLATFORM_PART });
        all?.rows.forEach(apply);
        after = all?.asOf.version;
        if (after === undefined) {
            await sleep(RETRY_DELAY_MS);
        }
    };
    const followFrom = async (version: number): Promise<void> => {
        const reading = await context.store.changes({ table: OPERATOR_TABLE, after: version, waitMs: LONG_POLL_MS });
        if (reading.kind === "rows") {
            reading.rows.forEach(apply);
            after = reading.version;
            return;
        }
        after = reading.kind === "history-lost" ? undefined : after;
        await sleep(RETRY_DELAY_MS);
    };
    void repeatWhileActive({
        context,
        part: "operator-feed",
        isActive: () => !closed,
        step: () => (after === undefined ? load() : followFrom(after)),
    });
    return {
        events,
        configuration: () => configuration,
        waves: () => [...waves.values()],
        close: () => (closed = true),
    };
};

const readConfiguration = (context: DispatcherContext, text: string): Configuration | undefined => {
    try {
        return decodeConfiguration(text);
    } catch (error) {
        context.metrics.count("unreadable_configurations");
        context.log("configuration-unreadable", { reason: error instanceof Error ? error.message : String(error) });
        return undefined;
    }
};

const logAdopted = (context: DispatcherContext, { version, queues, tenants, skippedTenants }: Configuration): void => {
    context.log("configuration-adopted", { version, queues: queues.length, tenants: tenants.length });
    skippedTenants.forEach(skipped => {
        context.metrics.count("skipped_tenants");
        context.log("tenant-skipped", { configuration: version, ...skipped });
    });
};

const readWave = (context: DispatcherContext, key: string, text: string): WaveRequest | undefined => {
    const wave = decodeWave(text);
    if (wave === undefined) {
        context.metrics.count("unreadable_waves");
        context.log("wave-unreadable", { key });
    }
    return wave;
};
