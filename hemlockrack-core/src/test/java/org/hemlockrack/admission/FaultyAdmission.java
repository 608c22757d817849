package org.hemlockrack.admission;

import java.util.function.Consumer;
import org.hemlockrack.admission.AdmissionEvent.Announced;
import org.hemlockrack.decider.Decider;

/** An {@link Admission} made faulty by changing or hiding its events. */
final class FaultyAdmission implements Decider<AdmissionEvent, AdmissionOutput> {
    /** Changes one event; null hides it. */
    interface EventChange {
        AdmissionEvent apply(long nowNanos, AdmissionEvent event);
    }

    private final Admission mAdmission;
    private final EventChange mChange;

    FaultyAdmission(Admission admission, EventChange change) {
        mAdmission = admission;
        mChange = change;
    }

    static Announced copy(Announced a, int load, PreviousOwner previous, LeaseEcho echo) {
        return new Announced(
                a.incarnation(), a.statedLimit(), load, a.state(), a.sequence(), previous, echo);
    }

    Admission admission() {
        return mAdmission;
    }

    @Override
    public void onEvent(
            long nowNanos, AdmissionEvent event, Consumer<? super AdmissionOutput> out) {
        AdmissionEvent changed = mChange.apply(nowNanos, event);
        if (changed != null) {
            mAdmission.onEvent(nowNanos, changed, out);
        }
    }

    @Override
    public void onTimer(long nowNanos, Consumer<? super AdmissionOutput> out) {
        mAdmission.onTimer(nowNanos, out);
    }

    @Override
    public long nextTimerNanos() {
        return mAdmission.nextTimerNanos();
    }
}
