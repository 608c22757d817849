package org.hemlockrack.membership;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ZoneId;

/**
 * Immutable snapshot of the fleet as seen by one instance.
 *
 * @param self the instance that holds the view
 * @param members all known instances including self, ordered by id
 * @param backends the directory of backend servers; those whose owner is gone are in state GONE
 * @param facts the newest facts by key
 * @param unreachableZones zones of which most instances are unreachable
 * @param unreachableRegions regions of which most instances are unreachable
 * @param isolated whether more than half of the fleet is unreachable from self; it then declares no
 *     member dead
 */
public record MembershipView(
        InstanceId self,
        ImmutableMap<InstanceId, Member> members,
        ImmutableMap<BackendId, Backend> backends,
        ImmutableMap<String, Fact> facts,
        ImmutableSet<ZoneId> unreachableZones,
        ImmutableSet<String> unreachableRegions,
        boolean isolated) {
    /** Returns the highest known configuration version, 0 if none. */
    public long configVersion() {
        Fact fact = facts.get(Fact.CONFIG_KEY);
        return fact == null ? 0 : fact.version();
    }

    /** Returns one member. */
    public Optional<Member> member(InstanceId id) {
        return Optional.ofNullable(members.get(id));
    }

    /** Returns one backend server. */
    public Optional<Backend> backend(BackendId id) {
        return Optional.ofNullable(backends.get(id));
    }
}
