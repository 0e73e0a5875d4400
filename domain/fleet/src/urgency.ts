/** Classes of urgency, most urgent first. */
export const urgencies = ["urgent", "normal", "deferrable"] as const;

/** Class of urgency of a request. */
export type Urgency = (typeof urgencies)[number];

/** A value for each class of urgency. */
export type ByUrgency<Value> = Readonly<Record<Urgency, Value>>;

const LAST_URGENT_LEVEL = 2;
const LAST_NORMAL_LEVEL = 4;

/** Maps an RFC 9218 urgency level, 0 to 7, to a class. */
export const urgencyOfLevel = (level: number): Urgency => {
    if (level <= LAST_URGENT_LEVEL) {
        return "urgent";
    }
    return level <= LAST_NORMAL_LEVEL ? "normal" : "deferrable";
};

/** The less urgent of two classes. */
export const lessUrgent = (left: Urgency, right: Urgency): Urgency =>
    urgencies.indexOf(left) > urgencies.indexOf(right) ? left : right;
