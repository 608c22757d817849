package org.hemlockrack.admission;

import java.util.function.Consumer;
import org.hemlockrack.admission.AdmissionEvent.Announced;
import org.hemlockrack.decider.Decider;

/** A decider that is broken on purpose, by changing or hiding the events it gets. */
final class Variant implements Decider<AdmissionEvent, AdmissionOutput> {
    /** Changes one event; null hides it. */
    interface Change {
        AdmissionEvent apply(long nowNanos, AdmissionEvent event);
    }

    private final Admission mAdmission;
    private final Change mChange;

    Variant(Admission admission, Change change) {
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
