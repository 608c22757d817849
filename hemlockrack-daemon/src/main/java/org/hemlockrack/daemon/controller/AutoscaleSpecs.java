package org.hemlockrack.daemon.controller;

import java.util.HashMap;
import java.util.Map;
import org.hemlockrack.codec.Deflate;
import org.hemlockrack.control.ControlState;
import org.hemlockrack.daemon.gateway.ProtocolAdapter;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.routing.AutoscaleSpec;

/** The bounds of autoscaled services in the committed route table. Thread-safe. */
final class AutoscaleSpecs {
    private final ProtocolAdapter mProtocol;
    private long mVersion;
    private byte[] mDocument = new byte[0];
    private long mParsedVersion;
    private Map<ServiceId, AutoscaleSpec> mSpecs = Map.of();

    private AutoscaleSpecs(ProtocolAdapter protocol) {
        mProtocol = protocol;
    }

    static AutoscaleSpecs create(ProtocolAdapter protocol) {
        return new AutoscaleSpecs(protocol);
    }

    /** Publishes the committed state. */
    synchronized void publish(ControlState state) {
        if (state.tableVersion() > mVersion) {
            mVersion = state.tableVersion();
            mDocument = state.tableDocument();
        }
    }

    /** Returns the bounds by service; a table is parsed when they are first needed. */
    Map<ServiceId, AutoscaleSpec> get() {
        long version;
        byte[] document;
        synchronized (this) {
            if (mParsedVersion == mVersion) {
                return mSpecs;
            }
            version = mVersion;
            document = mDocument;
        }
        // Outside of the lock, because the log's thread publishes.
        Map<ServiceId, AutoscaleSpec> specs = parse(document);
        synchronized (this) {
            mParsedVersion = version;
            mSpecs = specs;
        }
        return specs;
    }

    private Map<ServiceId, AutoscaleSpec> parse(byte[] document) {
        Map<ServiceId, AutoscaleSpec> specs = new HashMap<>();
        try {
            mProtocol
                    .parseRouteTable(Deflate.inflate(document))
                    .services()
                    .forEach(
                            (id, service) -> {
                                AutoscaleSpec bounds = service.autoscale();
                                if (bounds != null) {
                                    specs.put(id, bounds);
                                }
                            });
        } catch (HemlockrackException e) {
            // Only a table that another version accepted; without bounds nothing is ordered.
            specs.clear();
        }
        return specs;
    }
}
