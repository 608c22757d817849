package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.UUID;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Starts moving a service's traffic from one model version to another. */
public final class RolloutStartCommand extends Command {
    private final ObjectNode mBody = JsonNodeFactory.instance.objectNode();
    private String mRequestId = UUID.randomUUID().toString();

    /**
     * Sets the model and its versions.
     *
     * @param service the service
     * @param model name of the model
     * @param from version in use
     * @param to new version
     * @return this command
     */
    public RolloutStartCommand setVersions(String service, String model, String from, String to) {
        mBody.put("service", service);
        mBody.put("model", model);
        mBody.put("from", from);
        mBody.put("to", to);
        return this;
    }

    /**
     * Sets the deadline.
     *
     * @param deadlineMillis milliseconds from the start until all traffic must have moved
     * @return this command
     */
    public RolloutStartCommand setDeadlineMillis(long deadlineMillis) {
        mBody.put("deadline_ms", deadlineMillis);
        return this;
    }

    @Override
    void declareOptions(Subparser parser) {
        parser.help("start moving traffic to a new version");
        parser.addArgument("service");
        parser.addArgument("model");
        parser.addArgument("--from").required(true).help("version in use");
        parser.addArgument("--to").required(true).help("new version");
        parser.addArgument("--deadline-ms")
                .type(Long.class)
                .required(true)
                .help("milliseconds until all traffic must have moved");
        parser.addArgument("--first-share").type(Double.class).setDefault(0.05);
        parser.addArgument("--complete-unjudged")
                .action(Arguments.storeTrue())
                .help("complete even if the new version had too little traffic to judge it");
        parser.addArgument("--request-id")
                .help("idempotency key of the command; random by default");
    }

    @Override
    void readOptions(Namespace options) {
        setVersions(
                options.getString("service"),
                options.getString("model"),
                options.getString("from"),
                options.getString("to"));
        setDeadlineMillis(options.getLong("deadline_ms"));
        mBody.put("first_share", options.getDouble("first_share"));
        mBody.put("complete_unjudged", options.getBoolean("complete_unjudged"));
        if (options.getString("request_id") != null) {
            mRequestId = options.getString("request_id");
        }
    }

    @Override
    public int call() {
        OperatorClient.Response response =
                send(
                        "POST",
                        "/operator/v1/rollouts",
                        List.of(new OperatorClient.HeaderField("X-Request-Id", mRequestId)),
                        mBody.toString());
        if (response.isError()) {
            return printErrorResponse(response);
        }
        if (isJson()) {
            out().println(response.body());
            return EXIT_SUCCESS;
        }
        out().println("started roll-out " + parse(response.body()).path("rollout").asLong());
        return EXIT_SUCCESS;
    }
}
