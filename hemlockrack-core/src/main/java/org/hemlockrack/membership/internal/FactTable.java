package org.hemlockrack.membership.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.membership.Fact;
import org.hemlockrack.membership.Version;
import org.jspecify.annotations.Nullable;

/** The newest fact of each key. */
final class FactTable {
    /** Limits the memory that peers can make this process use; further keys are ignored. */
    static final int MAX_FACTS = 256;

    private final Map<Long, Fact> mFacts = new LinkedHashMap<>();
    private final GossipRules mRules;
    private final BucketDigests mDigests;

    FactTable(GossipRules rules, BucketDigests digests) {
        mRules = rules;
        mDigests = digests;
    }

    /** Stores a fact if it is newer; returns whether it was. */
    boolean apply(Fact fact) {
        long shortId = ShortIds.fact(fact.key());
        Fact stored = mFacts.get(shortId);
        if (stored == null && mFacts.size() >= MAX_FACTS) {
            return false;
        }
        if (stored != null && !mRules.supersedes(version(stored), version(fact))) {
            return false;
        }
        if (stored != null && stored.equals(fact)) {
            return false;
        }
        mFacts.put(shortId, fact);
        mDigests.put(shortId, version(fact));
        return true;
    }

    @Nullable Fact get(long shortId) {
        return mFacts.get(shortId);
    }

    List<Fact> facts() {
        return new ArrayList<>(mFacts.values());
    }

    private static Version version(Fact fact) {
        return Version.of(fact.version(), 0);
    }
}
