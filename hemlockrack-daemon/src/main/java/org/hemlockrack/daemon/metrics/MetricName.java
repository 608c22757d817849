package org.hemlockrack.daemon.metrics;

/** All metrics. {@code docs/metrics.md} must list them with the same type, unit and help text. */
public enum MetricName {
    REQUESTS("requests_total", MetricType.COUNTER, "requests", "Ended requests by outcome kind"),
    REFUSALS("refusals_total", MetricType.COUNTER, "requests", "Refusals of callers by kind"),
    RETRIES("retries_total", MetricType.COUNTER, "attempts", "Attempts after the first"),
    FIRST_BYTE("first_byte_seconds", MetricType.SUMMARY, "s", "Time to the answer's head"),
    REQUEST_DURATION("request_seconds", MetricType.SUMMARY, "s", "Time to the end of the answer"),
    ROUTE_REQUESTS("route_requests_total", MetricType.COUNTER, "requests", "Answers by route"),
    ROUTE_FIRST_BYTE(
            "route_first_byte_seconds", MetricType.SUMMARY, "s", "Time to the head by route"),
    SERVER_CHOICES(
            "server_choices_total",
            MetricType.COUNTER,
            "choices",
            "Choices of a backend server by reason"),
    RETRIES_DENIED(
            "retries_denied_total",
            MetricType.COUNTER,
            "attempts",
            "Attempts that the route or the fleet's budget did not allow"),
    SERVERS_SUSPENDED(
            "servers_suspended",
            MetricType.GAUGE,
            "servers",
            "Backend servers left out after failed connections"),
    ZONES_SUSPENDED(
            "zones_suspended",
            MetricType.GAUGE,
            "zones",
            "Availability zones left out because several servers in a row gave no answer"),
    SERVERS_LIMITED(
            "servers_limited",
            MetricType.GAUGE,
            "servers",
            "Backend servers whose learned concurrency limit is below their slots"),
    LOAD_ERROR(
            "load_error_requests",
            MetricType.GAUGE,
            "requests",
            "Mean difference between the estimated load of a backend server and what it reports"),
    VIEW_AGE(
            "view_age_seconds",
            MetricType.GAUGE,
            "s",
            "Time since a controller confirmed this gateway's state"),
    TABLE_AGE(
            "table_age_seconds",
            MetricType.GAUGE,
            "s",
            "Time since the route table in force was known to be the newest acknowledged one"),
    PARTS_HELD(
            "prompt_parts_held",
            MetricType.GAUGE,
            "parts",
            "Prompt parts that are held back because they crash backend servers"),
    TABLES_DEFERRED(
            "tables_deferred_total",
            MetricType.COUNTER,
            "replies",
            "Replies to gateways that left out a route table because others were on their way"),
    LOG_LINES_DROPPED(
            "log_lines_dropped_total",
            MetricType.COUNTER,
            "lines",
            "Log lines that found no room in the buffer"),
    LOG_UNSAMPLED(
            "log_unsampled_total",
            MetricType.COUNTER,
            "requests",
            "Requests that ended as usual and were left out of the log"),
    OPEN_REQUESTS("open_requests", MetricType.GAUGE, "requests", "Open requests of callers"),
    ANSWER_BYTES(
            "answer_bytes",
            MetricType.GAUGE,
            "B",
            "Memory reserved for answers that callers have not taken yet"),
    HEAD_BYTES(
            "request_head_bytes",
            MetricType.GAUGE,
            "B",
            "Memory held for heads and trailers of requests"),
    BODY_BYTES("request_body_bytes", MetricType.GAUGE, "B", "Memory held for bodies of requests"),
    CONNECTION_BYTES(
            "connection_bytes", MetricType.GAUGE, "B", "Memory held for connections to HTTP ports"),
    RESPONSE_BYTES(
            "response_bytes",
            MetricType.GAUGE,
            "B",
            "Memory held for documents that operators and others have not taken yet"),
    PARSE_BYTES("parse_bytes", MetricType.GAUGE, "B", "Memory reserved for what is being parsed"),
    PARSE_REFUSALS(
            "parse_refusals_total",
            MetricType.COUNTER,
            "messages",
            "Bodies and messages refused because their values need too much memory"),
    EVICTIONS(
            "connections_evicted_total",
            MetricType.COUNTER,
            "connections",
            "Incomplete requests and idle connections given up for others"),
    REQUESTS_QUEUED(
            "requests_queued_total",
            MetricType.COUNTER,
            "requests",
            "Requests that waited for a free slot of a service, by priority rank"),
    QUEUE_REFUSALS(
            "queue_refusals_total",
            MetricType.COUNTER,
            "requests",
            "Waiting requests that were refused, by reason"),
    REQUESTS_WAITING(
            "requests_waiting",
            MetricType.GAUGE,
            "requests",
            "Requests that wait for a free slot of a service"),
    WAITING_BYTES("waiting_bytes", MetricType.GAUGE, "B", "Memory that waiting requests hold"),
    QUEUE_LENGTH("queue_length", MetricType.GAUGE, "requests", "Queue by owned backend server"),
    IN_FLIGHT("in_flight", MetricType.GAUGE, "requests", "In flight by owned backend server"),
    LIMIT("limit", MetricType.GAUGE, "requests", "Limit by owned backend server"),
    CONTROL_BYTES("control_bytes_total", MetricType.COUNTER, "B", "Wire bytes by traffic class"),
    CONTROL_DEFERRED(
            "control_deferred_total", MetricType.COUNTER, "messages", "Deferrals by traffic class"),
    CONTROL_DROPPED(
            "control_dropped_total", MetricType.COUNTER, "messages", "Drops by traffic class"),
    GOSSIP_PERIOD("gossip_period_seconds", MetricType.GAUGE, "s", "Current gossip period"),
    CONFIG_VERSION("config_version", MetricType.GAUGE, "1", "Configuration version in force"),
    LEADER("leader", MetricType.GAUGE, "1", "1 while this instance leads the log, else 0"),
    TERM("term", MetricType.GAUGE, "1", "Term of the log; 0 without a replica"),
    DUTY_TOKEN(
            "duty_token",
            MetricType.GAUGE,
            "1",
            "Token under which this instance holds a duty, else 0; the highest of all duties"),
    DUTY_CALLS("duty_calls_total", MetricType.COUNTER, "calls", "Calls of duties by answer"),
    USAGE_REPORTED_WINDOW(
            "usage_reported_window",
            MetricType.GAUGE,
            "1",
            "Newest usage window that the platform has accepted, -1 for none"),
    ORDERED_SERVERS(
            "ordered_servers",
            MetricType.GAUGE,
            "servers",
            "Servers of the last accepted order by service and zone, on its holder"),
    HEAP_BYTES("heap_bytes", MetricType.GAUGE, "B", "Heap in use"),
    HEAP_MAX_BYTES("heap_max_bytes", MetricType.GAUGE, "B", "Largest heap");

    private static final String PREFIX = "hemlockrack_";

    private final String mName;
    private final MetricType mType;
    private final String mUnit;
    private final String mHelp;

    MetricName(String name, MetricType type, String unit, String help) {
        mName = name;
        mType = type;
        mUnit = unit;
        mHelp = help;
    }

    /** Returns the name in the text format, including the prefix. */
    public String fullName() {
        return PREFIX + mName;
    }

    /** Returns the type of the metric. */
    public MetricType type() {
        return mType;
    }

    /** Returns the unit. */
    public String unit() {
        return mUnit;
    }

    /** Returns the text of the HELP line. */
    public String help() {
        return mHelp;
    }
}
