package org.hemlockrack.daemon.controller;

import java.util.List;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.duties.DutyHolder;
import org.hemlockrack.duties.ReplicaOrder;
import org.hemlockrack.duties.UsageWindow;

/** Translates the calls of duties to the API of the platform. */
public interface DutyCalls {
    /**
     * An HTTP request.
     *
     * @param method HTTP method
     * @param path path with query
     * @param headers header fields
     * @param body the body
     */
    record Call(String method, String path, List<HeaderField> headers, byte[] body) {}

    /**
     * Reports the usage in a window. Equal arguments give equal bytes.
     *
     * @param holder the holder of the duty
     * @param window the window
     * @return the request
     */
    Call reportUsage(DutyHolder holder, UsageWindow window);

    /**
     * Sets the number of servers of a service in a zone.
     *
     * @param holder the holder of the duty
     * @param order the order
     * @return the request
     */
    Call setReplicas(DutyHolder holder, ReplicaOrder order);

    /**
     * Reads the status of an answer.
     *
     * @param status HTTP status
     * @return what the platform says
     */
    DutyAnswer readAnswer(int status);
}
