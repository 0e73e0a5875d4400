/** What one of several claimants wants of a capacity, and its weight against the others. */
export interface Claim {
    /** Greater than 0. */
    readonly weight: number;
    /** In the unit of the capacity. */
    readonly wanted: number;
}

/**
 * Weighted max-min fair division of a capacity: no share exceeds what is wanted, and what remains is divided among the
 * others by weight. The shares are in the order of the claims.
 */
export const weightedShares = (claims: readonly Claim[], capacity: number): readonly number[] => {
    const level = fairLevel(claims, capacity);
    return claims.map(({ weight, wanted }) => Math.max(0, Math.min(wanted, level * weight)));
};

// The capacity for each unit of weight that is left for claims that want more than it.
const fairLevel = (claims: readonly Claim[], capacity: number): number => {
    const ascending = claims.toSorted((left, right) => left.wanted / left.weight - right.wanted / right.weight);
    let remaining = Math.max(0, capacity);
    let weight = claims.reduce((sum, claim) => sum + claim.weight, 0);
    const unserved = ascending.find(claim => {
        if (claim.wanted > (remaining * claim.weight) / weight) {
            return true;
        }
        remaining -= Math.max(0, claim.wanted);
        weight -= claim.weight;
        return false;
    });
    return unserved === undefined ? Infinity : remaining / weight;
};
