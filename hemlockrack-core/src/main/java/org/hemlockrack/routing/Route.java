package org.hemlockrack.routing;

import java.util.List;
import org.hemlockrack.model.ServiceId;

/**
 * Where requests of one host and path prefix go, and what holds for them.
 *
 * @param name name of the route
 * @param host value of the Host header field
 * @param pathPrefix prefix of the path, with a slash at both ends
 * @param rerunPolicy what may be run again
 * @param resumable whether a broken stream can be resumed at another backend server
 * @param timeoutMillis longest time that a request may take
 * @param targetLatencyMillis time to the answer, or to the first event of a stream, that earns full
 *     credit
 * @param targetGapMillis longest pause between two events of a stream, 0 for plain answers
 * @param priorityRank rank of the route, 0 is the most urgent
 * @param targets services with their weights; the sum is positive
 * @param maxAttempts most backend servers that one request may be sent to
 * @param allowsAnonymous whether requests need no key
 * @param prefixAffinity whether requests carry prompt parts that backend servers cache
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RerunPolicy rerunPolicy,
        boolean resumable,
        long timeoutMillis,
        long targetLatencyMillis,
        long targetGapMillis,
        int priorityRank,
        List<WeightedService> targets,
        int maxAttempts,
        boolean allowsAnonymous,
        boolean prefixAffinity) {
    /** Copies the list. */
    public Route {
        targets = List.copyOf(targets);
    }

    /** Returns whether a request that may have run can be sent again. */
    public boolean allowsRerun() {
        return rerunPolicy.allowsRerun(resumable);
    }

    /** Returns whether answers are streams of events. */
    public boolean isStreaming() {
        return rerunPolicy == RerunPolicy.STREAM;
    }

    /**
     * Chooses a service by weight.
     *
     * @param draw a number from 0 to below 1, the same for all attempts of a request
     * @return the service
     */
    public ServiceId chooseService(double draw) {
        double left = draw * totalWeight();
        for (WeightedService target : targets) {
            left -= target.weight();
            if (left < 0) {
                return target.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }

    double totalWeight() {
        double total = 0;
        for (WeightedService target : targets) {
            total += target.weight();
        }
        return total;
    }
}
