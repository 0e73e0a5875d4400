import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Seeded random number generator; the same seed gives the same sequence. */
export interface Random {
    /** From 0 (included) to 1 (excluded). */
    readonly uniform: () => number;
    /** Whole number from 0 to `limit` (excluded). */
    readonly below: (limit: number) => number;
    readonly exponential: (mean: number) => number;
    readonly logNormal: (median: number, sigma: number) => number;
}

/** Creates a random number generator from a seed. */
export const createRandom = (seed: number): Random => {
    const generator = xoroshiro128plus(seed);
    const uniform = (): number => uniformFloat64(generator);
    const normal = (): number => Math.sqrt(-2 * Math.log(1 - uniform())) * Math.cos(2 * Math.PI * uniform());
    return {
        uniform,
        below: limit => uniformInt(generator, 0, limit - 1),
        exponential: mean => -mean * Math.log(1 - uniform()),
        logNormal: (median, sigma) => median * Math.exp(sigma * normal()),
    };
};
