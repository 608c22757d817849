package org.hemlockrack.duties;

import org.jspecify.annotations.Nullable;

/** The duties that a deployment can enable. */
public enum Duty {
    /** Reports how many requests of each workspace began to run. */
    METERING("metering"),
    /** Sets the number of servers of each service in each zone. */
    AUTOSCALING("autoscaling");

    private final String mId;

    Duty(String id) {
        mId = id;
    }

    /** Returns the name in the settings and in the replicated log. */
    public String id() {
        return mId;
    }

    /**
     * Returns the duty with a name.
     *
     * @param id the name
     * @return the duty, or null if this version knows none of that name
     */
    public static @Nullable Duty of(String id) {
        for (Duty duty : values()) {
            if (duty.mId.equals(id)) {
                return duty;
            }
        }
        return null;
    }
}
