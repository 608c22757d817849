package org.hemlockrack.dispatch;

/** Why a server of the service is not chosen for a request. */
public enum ServerExclusion {
    /** The server has said that it leaves. */
    LEAVING,
    /** The departure of the server was announced: it is drained. */
    DRAINED,
    /** The availability zone of the server is evacuated. */
    ZONE_EVACUATED,
    /** An earlier attempt of the request used the server. */
    TRIED,
    /** A rollout holds its software version back from this request. */
    VERSION_HELD_BACK,
    /** The server is suspended after failures. */
    SUSPENDED,
    /** Several servers of its zone in a row gave no answer. */
    ZONE_SUSPENDED,
    /** The server has asked for no requests for a time. */
    RESTING,
    /** The server has just rejected a request. */
    REJECTING,
    /** The slots of the server, or its learned limit, are in use. */
    FULL,
    /** The server is cold, and its rate limit is used up. */
    COLD,
    /** The server fails much more often than the best one. */
    FAILING,
    /** The server carries much more than the mean load. */
    ABOVE_LOAD_BOUND,
    /** Another server has processed the prompt prefix recently. */
    NOT_CACHED,
    /** Another server precedes it in the ranking of the prompt prefix. */
    RANKED_LOWER,
    /** The server is not among the few whose costs were compared for this request. */
    NOT_COMPARED,
    /** The costs were compared, and another server costs less. */
    HIGHER_COST,
    /** Another one of the servers that the request may go to was drawn. */
    NOT_DRAWN
}
