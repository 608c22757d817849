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
    /** Bounds what peers can make this process store; facts beyond it are refused. */
    static final int MAX_FACTS = 256;

    private final Map<Long, Fact> mFacts = new LinkedHashMap<>();
    private final GossipRules mRules;
    private final Digest mDigest;

    FactTable(GossipRules rules, Digest digest) {
        mRules = rules;
        mDigest = digest;
    }

    /** Stores a fact if it is newer; returns whether it was. */
    boolean apply(Fact fact) {
        long shortId = ShortIds.fact(fact.key());
        Fact held = mFacts.get(shortId);
        if (held == null && mFacts.size() >= MAX_FACTS) {
            return false;
        }
        if (held != null && !mRules.supersedes(version(held), version(fact))) {
            return false;
        }
        if (held != null && held.equals(fact)) {
            return false;
        }
        mFacts.put(shortId, fact);
        mDigest.put(shortId, version(fact));
        return true;
    }

    @Nullable Fact get(long shortId) {
        return mFacts.get(shortId);
    }

    List<Fact> all() {
        return new ArrayList<>(mFacts.values());
    }

    private static Version version(Fact fact) {
        return Version.of(fact.version(), 0);
    }
}
