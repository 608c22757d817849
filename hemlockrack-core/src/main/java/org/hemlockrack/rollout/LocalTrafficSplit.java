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
 * Shares of traffic that this instance sends to the versions of each model. A roll-out that the
 * instance stopped stays stopped here; only a new roll-out sends traffic to the version again. Not
 * thread-safe.
 */
public final class LocalTrafficSplit {
    private final Map<RolloutKey, Rollout> mRollouts = new HashMap<>();
    private final Set<Long> mStopped = new HashSet<>();

    private LocalTrafficSplit() {}

    /** Creates a traffic split without roll-outs. */
    public static LocalTrafficSplit create() {
        return new LocalTrafficSplit();
    }

    /**
     * Applies states of roll-outs. States older than the known ones are ignored, so they may arrive
     * in any order.
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
     * Stops all traffic of this instance to the new version of a roll-out.
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
    public boolean isStopped(long rolloutId) {
        return mStopped.contains(rolloutId);
    }

    /**
     * Returns the share of traffic of a service and model that a version may get.
     *
     * @param service the service
     * @param version the version
     * @return the share, 0 to 1; 1 for a version that is not part of a known roll-out
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
     * Chooses the version for a chat. The choice is sticky: unless the share of the new version
     * decreases, a chat that was sent to the new version stays there.
     *
     * @param service the service
     * @param defaultVersion the version to use without a roll-out
     * @param keyHash hash of the placement key
     * @return the version
     */
    public ModelVersion chooseVersion(
            ServiceId service, ModelVersion defaultVersion, long keyHash) {
        Rollout rollout = rollout(service, defaultVersion.model());
        if (rollout == null || !involves(rollout, defaultVersion)) {
            return defaultVersion;
        }
        double share = permittedShare(service, rollout.to());
        return hashPosition(rollout.id(), keyHash) < share ? rollout.to() : rollout.from();
    }

    /**
     * Returns the known roll-out.
     *
     * @param service the service
     * @param model the model
     * @return the roll-out in its newest known state, or null
     */
    public @Nullable Rollout rollout(ServiceId service, String model) {
        return mRollouts.get(new RolloutKey(service, model));
    }

    private static boolean involves(Rollout rollout, ModelVersion version) {
        return version.equals(rollout.from()) || version.equals(rollout.to());
    }

    /**
     * Maps a chat to a position in [0, 1). The roll-out id is part of the hash, so that the first
     * chats to use a new version differ between roll-outs.
     */
    private static double hashPosition(long rolloutId, long keyHash) {
        HashCode hash =
                Hashing.murmur3_128().newHasher().putLong(rolloutId).putLong(keyHash).hash();
        return (hash.asLong() >>> 11) * 0x1.0p-53;
    }
}
