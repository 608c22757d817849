package org.hemlockrack.daemon.sync;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.Loop;

/** The links of one instance to all controllers that it knows. Confined to the loop. */
public final class ControllerLinks {
    private final Loop mLoop;
    private final PeerNetwork mNetwork;
    private final ControllerLink.Owner mOwner;
    private final DecisionLog mLog;
    private final Map<String, ControllerLink> mLinks = new HashMap<>();

    private ControllerLinks(
            Loop loop, PeerNetwork network, ControllerLink.Owner owner, DecisionLog log) {
        mLog = log;
        mLoop = loop;
        mNetwork = network;
        mOwner = owner;
    }

    /**
     * Creates links to nobody.
     *
     * @param loop runs the exchanges
     * @param network connections to other instances
     * @param owner supplies requests and takes replies
     * @param log where lost and regained controllers are noted
     * @return the links
     */
    public static ControllerLinks create(
            Loop loop, PeerNetwork network, ControllerLink.Owner owner, DecisionLog log) {
        return new ControllerLinks(loop, network, owner, log);
    }

    /**
     * Starts links to new controllers and ends those to others.
     *
     * @param addresses peer addresses of all controllers
     */
    public void follow(Set<String> addresses) {
        mLinks.entrySet().removeIf(link -> endUnlessIn(addresses, link));
        for (String address : addresses) {
            mLinks.computeIfAbsent(
                    address, key -> ControllerLink.start(mLoop, mNetwork, key, mOwner, mLog));
        }
    }

    private static boolean endUnlessIn(
            Set<String> addresses, Map.Entry<String, ControllerLink> link) {
        if (addresses.contains(link.getKey())) {
            return false;
        }
        link.getValue().stop();
        return true;
    }
}
