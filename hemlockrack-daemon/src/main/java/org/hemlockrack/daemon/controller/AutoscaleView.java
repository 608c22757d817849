package org.hemlockrack.daemon.controller;

import java.util.Collection;
import java.util.Map;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.routing.AutoscaleSpec;

/** What a controller knows of the servers and of their configuration. */
interface AutoscaleView {
    /** Returns the servers that run and do not leave. */
    Collection<Registration> servers();

    /** Returns the services whose number of servers may change, by the committed route table. */
    Map<ServiceId, AutoscaleSpec> specs();
}
