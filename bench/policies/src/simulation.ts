import type { AdmissionRequest } from "@almondusher/admission/admission-options";
import { type ProcessId, type RequestId, type TeamName, toId, type VmId } from "@almondusher/fleet/ids";
import type { AdmissionPolicy } from "./admission-policy.js";
import type { Arrivals } from "./arrivals.js";
import { createEventQueue, type EventQueue, runEvents, schedule } from "./event-queue.js";
import { type Outcomes, recordArrival, recordRejection, recordStart } from "./outcomes.js";
import type { PoolSize, SlotView } from "./slot-view.js";

// One-way delays and the tick of the simulated system.
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
    /** Learned run time of each queue of the pool. */
    readonly learnedMs: (number | undefined)[];
    /** Called whenever a request starts to wait. */
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
    /** Delay of a message to the process that decides on starts; 0 where each entry decides itself. */
    readonly controlDelayMs: number;
    messages: number;
}

/** Creates a simulation without arrivals under way. */
export const createSimulation = (options: Omit<Simulation, "events" | "endpoints" | "messages">): Simulation => ({
    ...options,
    events: createEventQueue(),
    endpoints: new Map(options.size.vms.map(vm => [vm, 0])),
    messages: 0,
});

/** Feeds all arrivals and runs until each has started or was refused, at most until `endMs`. */
export const runSimulation = (simulation: Simulation, endMs: number): void => {
    simulation.entries.forEach(entry => tick(simulation, entry));
    scheduleArrival(simulation, 0);
    const { arrivals, outcomes } = simulation;
    runEvents(simulation.events, () => simulation.events.now > endMs || outcomes.decided === arrivals.count);
};

/** Starts what may start at an entry now. */
export const startWaiting = (simulation: Simulation, entry: EntryNode): void => {
    const taken = entry.admission.takeNext(entry.view.capacity(), simulation.events.now);
    taken.expired.forEach(id => recordRejection(simulation.outcomes, indexOf(id), "expired"));
    taken.overdue.forEach(id =>
        learn(simulation, {
            entry,
            id,
            runMs: simulation.events.now - (simulation.outcomes.startMs[indexOf(id)] ?? 0),
        }),
    );
    taken.started.forEach(id => dispatch(simulation, entry, id));
};

// Two refusals in a row mean that the view of the entry is too old to be of use.
const MAX_ATTEMPTS = 3;

const indexOf = (id: RequestId): number => Number(id);

const tick = (simulation: Simulation, entry: EntryNode): void => {
    startWaiting(simulation, entry);
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
    const place = arrivals.place[index] ?? 0;
    const entry = entries[Math.floor((place * entries.length) / PLACES)];
    if (entry === undefined) {
        return;
    }
    const decision = entry.admission.offer(requestOf(simulation, entry, index), entry.view.capacity());
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

const PLACES = 256;

const requestOf = ({ arrivals, events }: Simulation, entry: EntryNode, index: number): AdmissionRequest => {
    const queue = arrivals.queue[index] ?? 0;
    const profile = arrivals.queues[queue];
    const learnedMs = entry.learnedMs[queue];
    const request = {
        id: toId<RequestId>(String(index)),
        urgency: profile?.urgency ?? "normal",
        team: toId<TeamName>(`team-${arrivals.team[index]}`),
        arrivedAt: events.now,
        deadlineAt: events.now + (profile?.timeoutMs ?? 0),
    };
    return learnedMs === undefined ? request : { ...request, expectedRunMs: learnedMs };
};

const dispatch = (simulation: Simulation, entry: EntryNode, id: RequestId, attempt = 1): void => {
    const vm = entry.view.take();
    if (vm === undefined) {
        entry.admission.putBack(id, simulation.events.now);
        return;
    }
    // The question to the deciding process and its answer.
    const decisionMs = 2 * simulation.controlDelayMs;
    schedule(simulation.events, decisionMs + simulation.times.endpointDelayMs, () =>
        reachEndpoint(simulation, { entry, id, vm, attempt }),
    );
};

interface Attempt {
    readonly entry: EntryNode;
    readonly id: RequestId;
    readonly vm: VmId;
    readonly attempt: number;
}

const reachEndpoint = (simulation: Simulation, { entry, id, vm, attempt }: Attempt): void => {
    const { endpoints, events, times, outcomes, arrivals } = simulation;
    const load = endpoints.get(vm) ?? 0;
    if (load >= simulation.size.slotsPerVm) {
        outcomes.refusals += 1;
        schedule(events, times.endpointDelayMs, () => refused(simulation, { entry, id, vm, attempt }));
        return;
    }
    endpoints.set(vm, load + 1);
    const runMs = arrivals.runMs[indexOf(id)] ?? 0;
    // A request that has started is always answered; the run may end before it is.
    recordStart(outcomes, indexOf(id), { startMs: events.now, answerMs: events.now + runMs + times.endpointDelayMs });
    schedule(events, runMs, () => {
        endpoints.set(vm, (endpoints.get(vm) ?? 0) - 1);
        schedule(events, times.endpointDelayMs, () => answer(simulation, { entry, id, vm, attempt }));
    });
};

const refused = (simulation: Simulation, { entry, id, vm, attempt }: Attempt): void => {
    entry.view.giveBack(vm);
    entry.view.noteRefusal(vm);
    if (attempt < MAX_ATTEMPTS) {
        dispatch(simulation, entry, id, attempt + 1);
    } else {
        entry.admission.putBack(id, simulation.events.now);
    }
};

// Weight of the newest run time in the learned one.
const LEARNING_RATE = 0.1;

const learn = (
    { arrivals }: Simulation,
    { entry, id, runMs }: { readonly entry: EntryNode; readonly id: RequestId; readonly runMs: number },
): void => {
    const queue = arrivals.queue[indexOf(id)] ?? 0;
    const learnedMs = entry.learnedMs[queue];
    entry.learnedMs[queue] = learnedMs === undefined ? runMs : learnedMs + LEARNING_RATE * (runMs - learnedMs);
};

const answer = (simulation: Simulation, { entry, id, vm }: Attempt): void => {
    const { arrivals, events } = simulation;
    learn(simulation, { entry, id, runMs: arrivals.runMs[indexOf(id)] ?? 0 });
    schedule(events, simulation.controlDelayMs, () => {
        entry.view.giveBack(vm);
        entry.admission.finish(id, events.now);
        startWaiting(simulation, entry);
    });
};
