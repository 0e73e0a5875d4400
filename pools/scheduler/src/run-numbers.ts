/**
 * Run numbers that a holder of the pool lease may give. Those of its successor are higher than all that it has reserved in
 * the lease row, so a holder gives none beyond a reservation that it knows to be stored.
 */
export interface RunNumbers {
    /** The last number given. */
    last: number;
    /** The highest number that is reserved in the lease row. */
    reservedUpTo: number;
}

/** What the lease row of a pool says of its last holder's run numbers. */
interface StoredRunNumbers {
    /** Fencing token of the holder. */
    readonly epoch: number;
    /** The highest number that is reserved; undefined in rows written by earlier versions. */
    readonly runNumbersUpTo: number | undefined;
}

/**
 * Distance between the first run numbers of successive fencing tokens. Earlier versions use the same one, so that their
 * numbers are higher than those of a predecessor that reserved no more than these.
 */
const RUN_NUMBERS_PER_TOKEN = 65_536;

/**
 * Numbers that a holder reserves beyond the last one that it has given. A holder may start runs for 6 s after its last
 * renewal, so this is enough for 10,000 starts a second.
 */
export const RESERVED_RUN_NUMBERS = 65_535;

/**
 * Fencing tokens that are left out after a holder of an earlier version, which stored no reservation: enough for 10^9 starts
 * under its token.
 */
const TOKENS_SKIPPED_WITHOUT_RESERVATION = 16_384;

/** Returns the fencing token of the next holder, whose run numbers are higher than all of its predecessors. */
export const nextToken = ({ epoch, runNumbersUpTo }: StoredRunNumbers): number =>
    runNumbersUpTo === undefined
        ? epoch + 1 + TOKENS_SKIPPED_WITHOUT_RESERVATION
        : Math.max(epoch, Math.floor(runNumbersUpTo / RUN_NUMBERS_PER_TOKEN)) + 1;

/** Returns the numbers of a holder that has given none, with the reservation to store when it acquires the lease. */
export const initialRunNumbers = (token: number): RunNumbers => {
    const last = token * RUN_NUMBERS_PER_TOKEN;
    return { last, reservedUpTo: reservationAfter(last) };
};

/** Returns the reservation to store with a renewal. It counts only once the renewal is known to be stored. */
export const nextReservation = ({ last, reservedUpTo }: RunNumbers): number =>
    Math.max(reservedUpTo, reservationAfter(last));

/** False if all reserved numbers are given. */
export const hasRunNumber = ({ last, reservedUpTo }: RunNumbers): boolean => last < reservedUpTo;

/** Gives the next run number; undefined if all reserved ones are given. */
export const takeRunNumber = (numbers: RunNumbers): number | undefined => {
    if (!hasRunNumber(numbers)) {
        return undefined;
    }
    numbers.last++;
    return numbers.last;
};

// Numbers above the limit cannot be told apart.
const reservationAfter = (last: number): number => Math.min(last + RESERVED_RUN_NUMBERS, Number.MAX_SAFE_INTEGER);
