package org.hemlockrack.daemon.sync;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.EventLoop;

/** The links of one instance to all known controllers. Confined to the loop. */
public final class ControllerLinks {
    private final EventLoop mLoop;
    private final PeerNetwork mNetwork;
    private final ControllerLink.Delegate mDelegate;
    private final DecisionLog mLog;
    private final Map<String, ControllerLink> mLinks = new HashMap<>();

    private ControllerLinks(
            EventLoop loop,
            PeerNetwork network,
            ControllerLink.Delegate delegate,
            DecisionLog log) {
        mLog = log;
        mLoop = loop;
        mNetwork = network;
        mDelegate = delegate;
    }

    /**
     * Creates an empty set of links.
     *
     * @param loop runs the exchanges
     * @param network connections to other instances
     * @param delegate creates requests and handles replies
     * @param log receives changes of the controllers' reachability
     * @return the links
     */
    public static ControllerLinks create(
            EventLoop loop,
            PeerNetwork network,
            ControllerLink.Delegate delegate,
            DecisionLog log) {
        return new ControllerLinks(loop, network, delegate, log);
    }

    /**
     * Starts links to new controllers and stops the links to controllers that are no longer given.
     *
     * @param addresses peer addresses of all controllers
     */
    public void setControllers(Set<String> addresses) {
        mLinks.entrySet().removeIf(link -> stopUnlessListed(addresses, link));
        for (String address : addresses) {
            mLinks.computeIfAbsent(
                    address, key -> ControllerLink.start(mLoop, mNetwork, key, mDelegate, mLog));
        }
    }

    /** Starts the next exchange with each controller early, to report news. */
    public void exchangeSoon() {
        mLinks.values().forEach(ControllerLink::exchangeSoon);
    }

    /** Starts the next exchange with one controller early, if there is a link to it. */
    public void exchangeSoon(String address) {
        ControllerLink link = mLinks.get(address);
        if (link != null) {
            link.exchangeSoon();
        }
    }

    private static boolean stopUnlessListed(
            Set<String> addresses, Map.Entry<String, ControllerLink> link) {
        if (addresses.contains(link.getKey())) {
            return false;
        }
        link.getValue().stop();
        return true;
    }
}
