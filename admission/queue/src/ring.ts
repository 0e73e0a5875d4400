/** A circular list of distinct items for round-robin scheduling; every operation takes constant time. */
export interface Ring<Item> {
    readonly links: Map<Item, Link<Item>>;
    first: Link<Item> | undefined;
}

interface Link<Item> {
    readonly item: Item;
    previous: Link<Item>;
    next: Link<Item>;
}

export const createRing = <Item>(): Ring<Item> => ({ links: new Map(), first: undefined });

/** The item whose turn it is. */
export const currentItem = <Item>(ring: Ring<Item>): Item | undefined => ring.first?.item;

/** Adds an item after all others, unless it is already in the ring. */
export const addToRing = <Item>(ring: Ring<Item>, item: Item): void => {
    if (ring.links.has(item)) {
        return;
    }
    const first = ring.first;
    const link = { item } as Link<Item>;
    link.next = first ?? link;
    link.previous = first?.previous ?? link;
    link.previous.next = link;
    link.next.previous = link;
    ring.first ??= link;
    ring.links.set(item, link);
};

/** Removes an item if it is in the ring. */
export const removeFromRing = <Item>(ring: Ring<Item>, item: Item): void => {
    const link = ring.links.get(item);
    if (link === undefined) {
        return;
    }
    ring.links.delete(item);
    link.previous.next = link.next;
    link.next.previous = link.previous;
    if (ring.first === link) {
        ring.first = link.next === link ? undefined : link.next;
    }
};

/** Advances to the next item. */
export const rotateRing = <Item>(ring: Ring<Item>): void => {
    ring.first = ring.first?.next;
};
