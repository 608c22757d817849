package org.hemlockrack.routing;

import java.util.List;
import org.hemlockrack.model.ServiceId;

/**
 * Targets and rules for the requests of one host and path prefix.
 *
 * @param name name of the route
 * @param host value of the Host header field
 * @param pathPrefix prefix of the path, with a slash at both ends
 * @param rerunPolicy whether requests may run more than once
 * @param resumable whether a broken stream can be resumed at another backend server
 * @param timeoutMillis longest time that a request may take
 * @param targetLatencyMillis latency objective: time to the answer, or to the first event of a
 *     stream
 * @param targetGapMillis longest pause between two events of a stream by the latency objective, 0
 *     if answers are not streams
 * @param priorityRank priority of the route's requests, 0 is the most urgent
 * @param targets services with their weights; the sum is positive
 * @param maxAttempts maximum number of backend servers that one request may be sent to
 * @param allowsAnonymous whether requests need no bearer key
 * @param prefixAffinity whether requests have a prompt prefix that backend servers cache, so that
 *     equal prefixes go to the same server
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

    /** Returns whether a request may be sent again after an attempt that may have run. */
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
     * @param draw a number in [0, 1), the same for all attempts of a request
     * @return the service
     */
    public ServiceId chooseService(double draw) {
        double remaining = draw * totalWeight();
        for (WeightedService target : targets) {
            remaining -= target.weight();
            if (remaining < 0) {
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
