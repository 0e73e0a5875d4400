import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Draws integers between two bounds, both included. */
export type Draw = (from: number, to: number) => number;

/** Creates a source of integers that depends only on its seed. */
export const createDraw = (seed: number): Draw => {
    const generator = xoroshiro128plus(seed);
    return (from, to) => uniformInt(generator, from, to);
};
