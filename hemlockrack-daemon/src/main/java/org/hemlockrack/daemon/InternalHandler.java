package org.hemlockrack.daemon;

import org.hemlockrack.daemon.entry.CacheEventReader;
import org.hemlockrack.daemon.entry.EntryService;
import org.hemlockrack.daemon.http.CallHandler;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.owner.ForwardedExchange;
import org.hemlockrack.daemon.owner.OwnerService;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.placement.CacheEvent;

/**
 * Handles requests on the internal port: announcements and cache events of backend servers, and
 * requests that other instances forward to this instance as the owner of a server.
 */
final class InternalHandler implements CallHandler {
    private static final String ANNOUNCE_PATH = "/backend/v1/announce";
    private static final String CACHE_EVENTS_PATH = "/backend/v1/cache-events";
    private static final int STATUS_OK = 200;

    private final EventLoop mLoop;
    private final OwnerService mOwner;
    private final EntryService mEntry;

    InternalHandler(EventLoop loop, OwnerService owner, EntryService entry) {
        mLoop = loop;
        mOwner = owner;
        mEntry = entry;
    }

    @Override
    public void handle(HttpCall call, Responder responder) {
        switch (call.path()) {
            case ANNOUNCE_PATH -> mOwner.handleAnnouncement(call, responder);
            case CACHE_EVENTS_PATH -> handleCacheEvent(call, responder);
            default -> ForwardedExchange.run(mOwner, call, responder);
        }
    }

    private void handleCacheEvent(HttpCall call, Responder responder) {
        CacheEvent event;
        try {
            event = CacheEventReader.parse(call.body());
        } catch (HemlockrackException e) {
            responder.sendError(e.kind(), String.valueOf(e.getMessage()), 0);
            return;
        }
        if (event.cleared()) {
            mOwner.onCacheCleared(event.backend(), event.incarnation());
        }
        mLoop.execute(() -> mEntry.applyCacheEvent(event));
        responder.sendJson(STATUS_OK, "{}");
    }
}
