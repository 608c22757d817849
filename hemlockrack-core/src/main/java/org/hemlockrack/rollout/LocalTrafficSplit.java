package org.hemlockrack.rollout;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.jspecify.annotations.Nullable;

/**
 * What share of traffic a version may get from this instance. A roll-out that the instance stopped
 * stays stopped here; only a new roll-out gives the version traffic again. Not thread-safe.
 */
public final class LocalTrafficSplit {
    private final Map<RolloutKey, Rollout> mRollouts = new HashMap<>();
    private final Set<Long> mStopped = new HashSet<>();

    private LocalTrafficSplit() {}

    /** Returns a gate that knows no roll-out. */
    public static LocalTrafficSplit create() {
        return new LocalTrafficSplit();
    }

    /**
     * Takes over the state of roll-outs. Older states than the known ones are ignored, so states
     * may arrive in any order.
     *
     * @param rollouts the roll-outs, running and ended
     */
    public void apply(Collection<Rollout> rollouts) {
        for (Rollout rollout : rollouts) {
            Rollout known = mRollouts.get(rollout.key());
            if (known == null || rollout.revision() > known.revision()) {
                mRollouts.put(rollout.key(), rollout);
            }
        }
        mStopped.retainAll(mRollouts.values().stream().map(Rollout::id).toList());
    }

    /**
     * Stops a roll-out on this instance.
     *
     * @param rolloutId the roll-out
     */
    public void stop(long rolloutId) {
        mStopped.add(rolloutId);
    }

    /**
     * Returns whether this instance stopped a roll-out.
     *
     * @param rolloutId the roll-out
     * @return true if it did
     */
    public boolean stopped(long rolloutId) {
        return mStopped.contains(rolloutId);
    }

    /**
     * Returns the share of traffic of a service and model that a version may get.
     *
     * @param service the service
     * @param version the version
     * @return the share, 0 to 1; 1 for a version that no known roll-out names
     */
    public double permittedShare(ServiceId service, ModelVersion version) {
        Rollout rollout = rollout(service, version.model());
        if (rollout == null) {
            return 1;
        }
        double share = mStopped.contains(rollout.id()) ? 0 : rollout.share();
        if (version.equals(rollout.to())) {
            return share;
        }
        return version.equals(rollout.from()) ? 1 - share : 1;
    }

    /**
     * Returns the version that a chat gets. A chat stays at its version while the share does not
     * fall, because higher shares only add chats.
     *
     * @param service the service
     * @param usual the version that is used without a roll-out
     * @param keyHash hash of the placement key
     * @return the version
     */
    public ModelVersion chooseVersion(ServiceId service, ModelVersion usual, long keyHash) {
        Rollout rollout = rollout(service, usual.model());
        if (rollout == null || !concerns(rollout, usual)) {
            return usual;
        }
        double share = permittedShare(service, rollout.to());
        return position(rollout.id(), keyHash) < share ? rollout.to() : rollout.from();
    }

    /**
     * Returns the known roll-out.
     *
     * @param service the service
     * @param model the model
     * @return the roll-out with the newest state, or null
     */
    public @Nullable Rollout rollout(ServiceId service, String model) {
        return mRollouts.get(new RolloutKey(service, model));
    }

    private static boolean concerns(Rollout rollout, ModelVersion version) {
        return version.equals(rollout.from()) || version.equals(rollout.to());
    }

    /** The id is part of the hash, so it is not always the same chats that try new versions. */
    private static double position(long rolloutId, long keyHash) {
        HashCode hash =
                Hashing.murmur3_128().newHasher().putLong(rolloutId).putLong(keyHash).hash();
        return (hash.asLong() >>> 11) * 0x1.0p-53;
    }
}
