import { type Scheduler, type Sink, Stream } from "most";

/** A stream whose items are pushed by callbacks. */
export interface EventSource<Item> {
    readonly stream: Stream<Item>;
    /** Delivers an item to the current observers. Nothing is buffered: without observers the item is dropped. */
    readonly push: (item: Item) => void;
    /** Ends the stream for the current observers. */
    readonly end: () => void;
}

interface Observer<Item> {
    readonly sink: Sink<Item>;
    readonly scheduler: Scheduler;
}

/** Creates a stream and the functions that feed it. An error thrown by an observer ends the stream for it alone. */
export const createEventSource = <Item>(): EventSource<Item> => {
    const observers = new Set<Observer<Item>>();
    const stream = new Stream<Item>({
        run: (sink, scheduler) => {
            const observer = { sink, scheduler };
            observers.add(observer);
            return { dispose: () => void observers.delete(observer) };
        },
    });
    return {
        stream,
        push: item => observers.forEach(observer => deliver(observer, item)),
        end: () => {
            const ended = [...observers];
            observers.clear();
            ended.forEach(({ sink, scheduler }) => sink.end(scheduler.now()));
        },
    };
};

const deliver = <Item>({ sink, scheduler }: Observer<Item>, item: Item): void => {
    const time = scheduler.now();
    try {
        sink.event(time, item);
    } catch (error) {
        sink.error(time, error instanceof Error ? error : new Error(String(error)));
    }
};

export interface Tick {
    /** Monotonic time of the tick in milliseconds. */
    readonly atMs: number;
}

/**
 * Emits a tick at the given period while the stream is observed.
 * After a pause of the process it emits one tick, not one for each missed period.
 */
export const tickStream = (periodMs: number): Stream<Tick> =>
    new Stream<Tick>({
        run: (sink, scheduler) => {
            const timer = setInterval(() => deliver({ sink, scheduler }, { atMs: performance.now() }), periodMs);
            return { dispose: () => clearInterval(timer) };
        },
    });

/**
 * Emits the given signals of the process. The handlers are installed by the call, so from then on the signals no longer
 * terminate the process. Signals that arrive before the stream is observed are delivered once it is, so that a stop
 * request during the start leads to a graceful stop.
 */
export const signalStream = (signals: readonly NodeJS.Signals[]): Stream<NodeJS.Signals> => {
    const pending: NodeJS.Signals[] = [];
    let receive = (signal: NodeJS.Signals): void => void pending.push(signal);
    const listener = (signal: NodeJS.Signals): void => receive(signal);
    signals.forEach(signal => process.on(signal, listener));
    return new Stream<NodeJS.Signals>({
        run: (sink, scheduler) => {
            receive = signal => deliver({ sink, scheduler }, signal);
            pending.splice(0).forEach(signal => setImmediate(() => receive(signal)));
            return { dispose: () => signals.forEach(signal => process.off(signal, listener)) };
        },
    });
};
