package org.hemlockrack.control;

import org.hemlockrack.wire.MoveStatusData;

/** Progress of the move of a service's traffic to a software version. */
public enum MoveStatus {
    IN_PROGRESS(MoveStatusData.IN_PROGRESS),
    COMPLETED(MoveStatusData.COMPLETED),
    REVERTED(MoveStatusData.REVERTED);

    private final MoveStatusData mData;

    MoveStatus(MoveStatusData data) {
        mData = data;
    }

    MoveStatusData toData() {
        return mData;
    }

    static MoveStatus of(MoveStatusData data) {
        for (MoveStatus status : values()) {
            if (status.mData == data) {
                return status;
            }
        }
        throw new IllegalArgumentException("unknown status " + data);
    }
}
