package org.hemlockrack.dispatch;

/**
 * Cost of sending a request to a server, as the sum of named terms. Every term has the unit of the
 * time to the first piece that is usual for requests of this kind: a term of 1 is as bad as an
 * answer that begins one such time later.
 *
 * @param load expected wait behind the requests in progress at the server
 * @param work longer work on a machine that is slower than the others
 * @param prefix work on a shared prompt prefix that the server does not have in its cache
 * @param zone way to another availability zone, and the price of its traffic
 * @param tie random part that spreads requests over equal servers
 */
public record ServerCost(double load, double work, double prefix, double zone, double tie) {
    /** Cost where nothing was compared. */
    static final ServerCost NONE = new ServerCost(0, 0, 0, 0, 0);

    /** Returns the sum of the terms, by which servers are compared. */
    public double total() {
        return load + work + prefix + zone + tie;
    }
}
