/** A circular list of distinct members for round-robin scheduling; every operation takes constant time. */
export interface Ring<Member> {
    readonly links: Map<Member, Link<Member>>;
    first: Link<Member> | undefined;
}

interface Link<Member> {
    readonly member: Member;
    previous: Link<Member>;
    next: Link<Member>;
}

export const createRing = <Member>(): Ring<Member> => ({ links: new Map(), first: undefined });

/** The member whose turn it is. */
export const currentMember = <Member>(ring: Ring<Member>): Member | undefined => ring.first?.member;

/** Adds a member after all others, unless it is already in the ring. */
export const addToRing = <Member>(ring: Ring<Member>, member: Member): void => {
    if (ring.links.has(member)) {
        return;
    }
    const first = ring.first;
    const link = { member } as Link<Member>;
    link.next = first ?? link;
    link.previous = first?.previous ?? link;
    link.previous.next = link;
    link.next.previous = link;
    ring.first ??= link;
    ring.links.set(member, link);
};

/** Removes a member if it is in the ring. */
export const removeFromRing = <Member>(ring: Ring<Member>, member: Member): void => {
    const link = ring.links.get(member);
    if (link === undefined) {
        return;
    }
    ring.links.delete(member);
    link.previous.next = link.next;
    link.next.previous = link.previous;
    if (ring.first === link) {
        ring.first = link.next === link ? undefined : link.next;
    }
};

/** Advances to the next member. */
export const rotateRing = <Member>(ring: Ring<Member>): void => {
    ring.first = ring.first?.next;
};
