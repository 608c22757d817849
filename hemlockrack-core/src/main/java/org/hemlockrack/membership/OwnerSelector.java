package org.hemlockrack.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ZoneId;

/**
 * Chooses the owners of backend servers by rendezvous hashing. All methods are pure functions of a
 * view.
 *
 * <p>Candidates are the ready, non-draining instances of the server's zone that are not dead. An
 * unreachable instance stays a candidate, so that ownership does not leave a partitioned zone.
 * Instances under flap damping are candidates only if their zone has no others. If the zone has no
 * candidates, those of another zone are used: zones of the same region come before those of other
 * regions, and within both groups the order is by a hash of server and zone, so that the servers of
 * one zone are distributed over several others.
 */
public final class OwnerSelector {
    private OwnerSelector() {}

    /**
     * Returns the owner of a backend server.
     *
     * @param view the view
     * @param backend the server
     * @param zone its zone
     * @return the owner, or empty if no instance can own it
     */
    public static Optional<InstanceId> selectOwner(
            MembershipView view, BackendId backend, ZoneId zone) {
        return rankCandidates(view, backend, zone).stream().findFirst();
    }

    /**
     * Returns the candidates of the zone that provides the owner.
     *
     * @param view the view
     * @param backend the server
     * @param zone its zone
     * @return the candidates, best first; the second becomes the owner when the first is gone
     */
    public static List<InstanceId> rankCandidates(
            MembershipView view, BackendId backend, ZoneId zone) {
        List<Member> local = candidates(view, zone);
        if (!local.isEmpty()) {
            return rankByWeight(local, backend);
        }
        for (ZoneId otherZone : zonesByProximity(view, backend, zone)) {
            List<Member> remote = candidates(view, otherZone);
            if (!remote.isEmpty()) {
                return rankByWeight(remote, backend);
            }
        }
        return List.of();
    }

    private static List<Member> candidates(MembershipView view, ZoneId zone) {
        List<Member> all = new ArrayList<>();
        List<Member> stable = new ArrayList<>();
        for (Member member : view.members().values()) {
            if (!member.zone().equals(zone) || !member.canOwn()) {
                continue;
            }
            all.add(member);
            if (member.stable()) {
                stable.add(member);
            }
        }
        return stable.isEmpty() ? all : stable;
    }

    private static List<InstanceId> rankByWeight(List<Member> candidates, BackendId backend) {
        return candidates.stream()
                .map(Member::id)
                .sorted(
                        Comparator.comparingLong((InstanceId id) -> weight(backend, id.value()))
                                .reversed()
                                .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private static List<ZoneId> zonesByProximity(
            MembershipView view, BackendId backend, ZoneId zone) {
        List<String> regions =
                view.members().values().stream()
                        .filter(member -> member.zone().equals(zone))
                        .map(member -> member.info().region())
                        .distinct()
                        .toList();
        Comparator<Member> sameRegionFirst =
                Comparator.comparing(member -> !regions.contains(member.info().region()));
        Comparator<Member> byWeight =
                Comparator.comparingLong(member -> weight(backend, member.zone().value()));
        return view.members().values().stream()
                .filter(member -> !member.zone().equals(zone))
                .sorted(sameRegionFirst.thenComparing(byWeight).thenComparing(Member::id))
                .map(Member::zone)
                .distinct()
                .toList();
    }

    private static long weight(BackendId backend, String name) {
        // The separator is not allowed in names, so two pairs never hash the same text.
        String text = backend.value() + "\n" + name;
        return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }
}
