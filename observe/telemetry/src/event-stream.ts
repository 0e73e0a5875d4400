import { type Scheduler, type Sink, Stream } from "most";

/** A stream that is fed from callbacks. */
export interface EventSource<Item> {
    readonly stream: Stream<Item>;
    /** Delivers to the observers of this moment; without one the item is dropped, nothing is buffered. */
    readonly push: (item: Item) => void;
    /** Ends the stream; later items are dropped. */
    readonly end: () => void;
}

interface Observer<Item> {
    readonly sink: Sink<Item>;
    readonly scheduler: Scheduler;
}

/** Creates a stream and the function that feeds it; an error of an observer ends the stream for that observer. */
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

/** One tick of a tick stream. */
export interface Tick {
    /** Monotonic time of the tick in milliseconds. */
    readonly atMs: number;
}

/**
 * Ticks at the given period while it is observed.
 * After a pause of the process one tick follows, not one for each period missed.
 */
export const tickStream = (periodMs: number): Stream<Tick> =>
    new Stream<Tick>({
        run: (sink, scheduler) => {
            const timer = setInterval(() => deliver({ sink, scheduler }, { atMs: performance.now() }), periodMs);
            return { dispose: () => clearInterval(timer) };
        },
    });

/**
 * The given signals of the process, from the call on; they no longer end the process by themselves.
 * Those that arrive before the stream is observed are delivered then, so that an early stop is a graceful one.
 */
export const signalStream = (signals: readonly NodeJS.Signals[]): Stream<NodeJS.Signals> => {
    const early: NodeJS.Signals[] = [];
    let receive = (signal: NodeJS.Signals): void => void early.push(signal);
    const listener = (signal: NodeJS.Signals): void => receive(signal);
    signals.forEach(signal => process.on(signal, listener));
    return new Stream<NodeJS.Signals>({
        run: (sink, scheduler) => {
            receive = signal => deliver({ sink, scheduler }, signal);
            early.splice(0).forEach(signal => setImmediate(() => receive(signal)));
            return { dispose: () => signals.forEach(signal => process.off(signal, listener)) };
        },
    });
};
