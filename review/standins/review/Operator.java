package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * An operator as the platform's pages describe it: it gives a controller a second to answer, follows
 * a redirect twice, and sends the same order to the next controller after a failure.
 */
final class Operator {
    private static final int ANSWER_MILLIS = 1_000;

    private final Fleet mFleet;
    private final EventRecord mRecord;

    Operator(Fleet fleet, EventRecord record) {
        mFleet = fleet;
        mRecord = record;
    }

    /**
     * Sends an order until it is acknowledged.
     *
     * @param first number of the controller that is called first
     * @return the answer, or null if none came in the given number of calls
     */
    Http.Message send(String method, String path, String body, int first, int calls)
            throws InterruptedException {
        long pauseMillis = 50;
        for (int i = 0; i < calls; i++) {
            int number = 1 + (first - 1 + i) % Fleet.CONTROLLERS;
            Http.Message answer = callOnce(method, path, body, number);
            if (answer != null && answer.status() < 300) {
                return answer;
            }
            Thread.sleep(pauseMillis);
            pauseMillis = Math.min(1_000, 2 * pauseMillis);
        }
        return null;
    }

    private Http.Message callOnce(String method, String path, String body, int number) {
        String host = Fleet.controllerIp(number);
        for (int redirects = 0; redirects < 3; redirects++) {
            mRecord.line("operator sends %s %s to %s", method, path, host);
            try {
                Http.Message answer =
                        Http.call(
                                host,
                                mFleet.adminPort(),
                                method,
                                path,
                                List.of(new Http.Field("Host", host)),
                                body.getBytes(StandardCharsets.UTF_8),
                                ANSWER_MILLIS,
                                ANSWER_MILLIS);
                mRecord.line("operator gets %d for %s %s", answer.status(), method, path);
                if (answer.status() != 307) {
                    return answer;
                }
                host = answer.field("Location").replaceAll("^http://([^:/]+).*", "$1");
            } catch (IOException | RuntimeException e) {
                mRecord.line("operator gets no answer for %s %s: %s", method, path, e);
                return null;
            }
        }
        return null;
    }

    /**
     * Returns the configuration of all cases: the service "app" with a route for streams, one for
     * requests that may be repeated and one for requests that may not, and the service "files" with
     * a route for requests that may not be repeated.
     */
    static String configuration() {
        return """
        {"version":3,
         "route_table":[
          {"name":"r-stream","host":"case.example","path_prefix":"/stream/","type":"streaming",
           "timeout_ms":12000,"target_latency_ms":500,"priority":1,"service":"app",
           "max_attempts":1,"public":false,"sticky":false,"resumable":false,
           "target_itl_ms":300},
          {"name":"r-look","host":"case.example","path_prefix":"/look/","type":"idempotent",
           "timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"app",
           "max_attempts":2,"public":false,"sticky":false,"resumable":false},
          {"name":"r-book","host":"case.example","path_prefix":"/book/","type":"non_idempotent",
           "timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"app",
           "max_attempts":1,"public":false,"sticky":false,"resumable":false},
          {"name":"r-files","host":"case.example","path_prefix":"/files/","type":"non_idempotent",
           "timeout_ms":4000,"target_latency_ms":1000,"priority":2,"service":"files",
           "max_attempts":1,"public":false,"sticky":false,"resumable":false}],
         "upstreams":[
          {"name":"app","health_check_path":"/healthz","max_connections":620,"protocol":"h1",
           "tls_enabled":false,"cold_start_s":0.0,"warmup_per_s":0.0},
          {"name":"files","health_check_path":"/healthz","max_connections":620,"protocol":"h1",
           "tls_enabled":false,"cold_start_s":0.0,"warmup_per_s":0.0}],
         "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
          "idle_timeout_ms":15000},
         "tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1},
          {"name":"tenant-2","api_keys":["key-2"],"priority":1}]}
        """;
    }
}
