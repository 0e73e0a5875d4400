import type { AdmissionRequest } from "@almondusher/admission/admission-options";
import { type ProcessId, type RequestId, type TeamName, toId, type VmId } from "@almondusher/fleet/ids";
import type { AdmissionPolicy } from "./admission-policy.js";
import type { Arrivals } from "./arrivals.js";
import { createEventQueue, type EventQueue, runEvents, schedule } from "./event-queue.js";
import { type Outcomes, recordArrival, recordRejection, recordStart } from "./outcomes.js";
import type { PoolSize, SlotView } from "./slot-view.js";

// One-way network delays and tick interval of the simulated system.
interface SystemTimes {
    readonly endpointDelayMs: number;
    readonly peerDelayMs: number;
    readonly tickMs: number;
}

/** One entry of the simulated system. */
export interface EntryNode {
    readonly id: ProcessId;
    readonly admission: AdmissionPolicy;
    readonly view: SlotView;
    /** Moving average of the run time by queue; undefined before the first sample. */
    readonly estimatedRunMs: (number | undefined)[];
    /** Called when a request has been queued. */
    onQueued: () => void;
}

/** One pool with its entries and endpoints. */
export interface Simulation {
    readonly events: EventQueue;
    readonly times: SystemTimes;
    readonly size: PoolSize;
    readonly entries: readonly EntryNode[];
    readonly endpoints: Map<VmId, number>;
    readonly arrivals: Arrivals;
    readonly outcomes: Outcomes;
    /** One-way delay to the process that assigns slots; 0 if each entry decides locally. */
    readonly controlDelayMs: number;
    messages: number;
}

/** Creates a simulation at time 0. */
export const createSimulation = (options: Omit<Simulation, "events" | "endpoints" | "messages">): Simulation => ({
    ...options,
    events: createEventQueue(),
    endpoints: new Map(options.size.vms.map(vm => [vm, 0])),
    messages: 0,
});

/** Runs the simulation until every request has started, was rejected or expired, at most until `endMs`. */
export const runSimulation = (simulation: Simulation, endMs: number): void => {
    simulation.entries.forEach(entry => tick(simulation, entry));
    scheduleArrival(simulation, 0);
    const { arrivals, outcomes } = simulation;
    runEvents(simulation.events, () => simulation.events.now > endMs || outcomes.decided === arrivals.count);
};

/** Starts the queued requests of an entry for which slots are free. */
export const startQueued = (simulation: Simulation, entry: EntryNode): void => {
    const result = entry.admission.startQueued(entry.view.capacity(), simulation.events.now);
    result.expired.forEach(id => recordRejection(simulation.outcomes, indexOf(id), "expired"));
    result.overdue.forEach(id =>
        recordRunTime(simulation, {
            entry,
            id,
            runMs: simulation.events.now - (simulation.outcomes.startMs[indexOf(id)] ?? 0),
        }),
    );
    result.started.forEach(id => dispatch(simulation, entry, id));
};

// After repeated refusals the entry's view of the slots is too outdated for a further attempt; the request is requeued.
const MAX_ATTEMPTS = 3;

const indexOf = (id: RequestId): number => Number(id);

const tick = (simulation: Simulation, entry: EntryNode): void => {
    startQueued(simulation, entry);
    schedule(simulation.events, simulation.times.tickMs, () => tick(simulation, entry));
};

const scheduleArrival = (simulation: Simulation, index: number): void => {
    const { arrivals, events } = simulation;
    if (index < arrivals.count) {
        schedule(events, (arrivals.atMs[index] ?? 0) - events.now, () => {
            arrive(simulation, index);
            scheduleArrival(simulation, index + 1);
        });
    }
};

const arrive = (simulation: Simulation, index: number): void => {
    recordArrival(simulation.outcomes, index);
    const { arrivals, entries } = simulation;
    const entryPosition = arrivals.entryPosition[index] ?? 0;
    const entry = entries[Math.floor((entryPosition * entries.length) / ENTRY_POSITIONS)];
    if (entry === undefined) {
        return;
    }
    const decision = entry.admission.admit(requestOf(simulation, entry, index), entry.view.capacity());
    switch (decision.kind) {
        case "start":
            dispatch(simulation, entry, toId<RequestId>(String(index)));
            break;
        case "queued":
            entry.onQueued();
            break;
        case "rejected":
            recordRejection(simulation.outcomes, index, decision.cause);
            break;
    }
};

const ENTRY_POSITIONS = 256;

const requestOf = ({ arrivals, events }: Simulation, entry: EntryNode, index: number): AdmissionRequest => {
    const queue = arrivals.queue[index] ?? 0;
    const profile = arrivals.queues[queue];
    const estimatedRunMs = entry.estimatedRunMs[queue];
    const request = {
        id: toId<RequestId>(String(index)),
        urgency: profile?.urgency ?? "normal",
        team: toId<TeamName>(`team-${arrivals.team[index]}`),
        arrivedAt: events.now,
        deadlineAt: events.now + (profile?.timeoutMs ?? 0),
    };
    return estimatedRunMs === undefined ? request : { ...request, expectedRunMs: estimatedRunMs };
};

const dispatch = (simulation: Simulation, entry: EntryNode, id: RequestId, attempt = 1): void => {
    const vm = entry.view.reserve();
    if (vm === undefined) {
        entry.admission.requeue(id, simulation.events.now);
        return;
    }
    // Round trip to the process that assigns the slot.
    const decisionMs = 2 * simulation.controlDelayMs;
    schedule(simulation.events, decisionMs + simulation.times.endpointDelayMs, () =>
        arriveAtEndpoint(simulation, { entry, id, vm, attempt }),
    );
};

interface Attempt {
    readonly entry: EntryNode;
    readonly id: RequestId;
    readonly vm: VmId;
    readonly attempt: number;
}

const arriveAtEndpoint = (simulation: Simulation, { entry, id, vm, attempt }: Attempt): void => {
    const { endpoints, events, times, outcomes, arrivals } = simulation;
    const load = endpoints.get(vm) ?? 0;
    if (load >= simulation.size.slotsPerVm) {
        outcomes.refusals += 1;
        schedule(events, times.endpointDelayMs, () => handleRefusal(simulation, { entry, id, vm, attempt }));
        return;
    }
    endpoints.set(vm, load + 1);
    const runMs = arrivals.runMs[indexOf(id)] ?? 0;
    // A started request always gets its response, so its time is recorded here; the simulation may stop before it arrives.
    recordStart(outcomes, indexOf(id), { startMs: events.now, responseMs: events.now + runMs + times.endpointDelayMs });
    schedule(events, runMs, () => {
        endpoints.set(vm, (endpoints.get(vm) ?? 0) - 1);
        schedule(events, times.endpointDelayMs, () => handleResponse(simulation, { entry, id, vm, attempt }));
    });
};

const handleRefusal = (simulation: Simulation, { entry, id, vm, attempt }: Attempt): void => {
    entry.view.release(vm);
    entry.view.recordRefusal(vm);
    if (attempt < MAX_ATTEMPTS) {
        dispatch(simulation, entry, id, attempt + 1);
    } else {
        entry.admission.requeue(id, simulation.events.now);
    }
};

// Weight of a new sample in the moving average of the run time.
const ESTIMATE_WEIGHT = 0.1;

const recordRunTime = (
    { arrivals }: Simulation,
    { entry, id, runMs }: { readonly entry: EntryNode; readonly id: RequestId; readonly runMs: number },
): void => {
    const queue = arrivals.queue[indexOf(id)] ?? 0;
    const estimatedRunMs = entry.estimatedRunMs[queue];
    entry.estimatedRunMs[queue] =
        estimatedRunMs === undefined ? runMs : estimatedRunMs + ESTIMATE_WEIGHT * (runMs - estimatedRunMs);
};

const handleResponse = (simulation: Simulation, { entry, id, vm }: Attempt): void => {
    const { arrivals, events } = simulation;
    recordRunTime(simulation, { entry, id, runMs: arrivals.runMs[indexOf(id)] ?? 0 });
    schedule(events, simulation.controlDelayMs, () => {
        entry.view.release(vm);
        entry.admission.finish(id, events.now);
        startQueued(simulation, entry);
    });
};
