package org.hemlockrack.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.hemlockrack.config.internal.CrossKeyChecks;
import org.hemlockrack.config.internal.DocumentReader;
import org.hemlockrack.config.internal.DocumentTrees;
import org.hemlockrack.config.internal.Schema;
import org.hemlockrack.config.internal.TomlPrinter;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.WorkspaceId;
import org.hemlockrack.model.ZoneId;

/**
 * One version of the configuration: the document as written by the operators, and its typed values
 * with defaults filled in. Immutable and safe to share between threads.
 */
public final class Configuration {
    private static final Configuration EMPTY = new Configuration(DocumentTrees.emptyTable());

    private final ObjectNode mDocument;
    private final Map<ServiceId, ServiceConfig> mServices;
    private final Map<WorkspaceId, WorkspaceConfig> mWorkspaces;
    private final Map<String, Boolean> mChecksFencingByClass;
    private final Map<ZoneId, ZoneConfig> mZones;
    private final Map<InstanceId, Boolean> mDrainingByInstance;
    private final LimitsConfig mLimits;
    private final Map<String, KeyOwner> mKeyOwners;

    private record KeyOwner(WorkspaceId workspace, BearerKey.SaltedHash stored) {}

    /**
     * The result of a validation.
     *
     * @param configuration the configuration, empty if there are errors
     * @param errors all errors
     */
    public record ValidationResult(
            Optional<Configuration> configuration, List<ValidationError> errors) {
        /** Copies the list. */
        public ValidationResult {
            errors = List.copyOf(errors);
        }
    }

    private Configuration(ObjectNode document) {
        DocumentReader reader = DocumentReader.of(document);
        mDocument = document;
        mServices =
                unmodifiable(
                        reader.readSection("services", ServiceId::of, DocumentReader::readService));
        mWorkspaces =
                unmodifiable(
                        reader.readSection(
                                "workspaces", WorkspaceId::of, DocumentReader::readWorkspace));
        mChecksFencingByClass =
                unmodifiable(
                        reader.readSection(
                                "backend_classes",
                                String::toString,
                                DocumentReader::readChecksFencing));
        mZones = unmodifiable(reader.readSection("zones", ZoneId::of, DocumentReader::readZone));
        mDrainingByInstance =
                unmodifiable(
                        reader.readSection(
                                "instances", InstanceId::of, DocumentReader::readDraining));
        mLimits = reader.readLimits();
        mKeyOwners = keyOwners(reader);
    }

    /** Returns the configuration before the first version: all defaults, nothing configured. */
    public static Configuration empty() {
        return EMPTY;
    }

    /**
     * Parses and validates a TOML document.
     *
     * @param text the document
     * @return the configuration
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is not TOML, with
     *     {@link ErrorKind#CONFIG_INVALID} and all errors if it is invalid
     */
    public static Configuration parseToml(String text) {
        return requireValid(checkToml(text));
    }

    /**
     * Parses and validates a JSON document.
     *
     * @param text the document
     * @return the configuration
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is not JSON, with
     *     {@link ErrorKind#CONFIG_INVALID} and all errors if it is invalid
     */
    public static Configuration parseJson(String text) {
        return requireValid(check(DocumentTrees.parseJson(text)));
    }

    /**
     * Validates a TOML document.
     *
     * @param text the document
     * @return the configuration or all errors
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is not TOML
     */
    public static ValidationResult checkToml(String text) {
        return check(DocumentTrees.parseToml(text));
    }

    /**
     * Validates a document tree.
     *
     * @param tree the tree; it is copied
     * @return the configuration or all errors
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is not a table
     */
    public static ValidationResult check(JsonNode tree) {
        ObjectNode document = DocumentTrees.requireTable(tree).deepCopy();
        List<ValidationError> errors = new ArrayList<>();
        Schema.check(document, errors);
        if (!errors.isEmpty()) {
            return new ValidationResult(Optional.empty(), errors);
        }
        Configuration configuration = new Configuration(document);
        errors.addAll(CrossKeyChecks.check(configuration));
        boolean valid = errors.isEmpty();
        return new ValidationResult(valid ? Optional.of(configuration) : Optional.empty(), errors);
    }

    /** Returns the document as TOML that parses to an equal configuration. */
    public String toToml() {
        return TomlPrinter.print(mDocument);
    }

    /** Returns the document as JSON that parses to an equal configuration. */
    public String toJson() {
        return DocumentTrees.toJson(mDocument);
    }

    /** Returns an error if the document is too long to be sent to other instances as TOML. */
    Optional<ValidationError> sizeError() {
        int chars = toToml().length();
        if (chars <= DocumentTrees.MAX_TEXT_CHARS) {
            return Optional.empty();
        }
        String allowed = "at most " + DocumentTrees.MAX_TEXT_CHARS + " characters";
        return Optional.of(new ValidationError("(document)", chars + " characters", allowed));
    }

    /** Returns a copy of the document tree, without defaults. */
    public ObjectNode tree() {
        return mDocument.deepCopy();
    }

    /** Returns the services. */
    public Map<ServiceId, ServiceConfig> services() {
        return mServices;
    }

    /** Returns the workspaces. */
    public Map<WorkspaceId, WorkspaceConfig> workspaces() {
        return mWorkspaces;
    }

    /** Returns the zones that the operators configured. */
    public Map<ZoneId, ZoneConfig> zones() {
        return mZones;
    }

    /** Returns the limits. */
    public LimitsConfig limits() {
        return mLimits;
    }

    /**
     * Returns whether the backend servers of a class reject requests with an outdated fencing
     * token.
     *
     * @param backendClass name of the class
     * @return false if the class is not configured
     */
    public boolean checksFencing(String backendClass) {
        return mChecksFencingByClass.getOrDefault(backendClass, false);
    }

    /**
     * Returns whether an instance is being drained by the operators.
     *
     * @param instance the instance
     * @return false if the instance is not configured
     */
    public boolean isDraining(InstanceId instance) {
        return mDrainingByInstance.getOrDefault(instance, false);
    }

    /**
     * Returns whether a zone is in service.
     *
     * @param zone the zone
     * @return true if the zone is not configured
     */
    public boolean isZoneInService(ZoneId zone) {
        ZoneConfig config = mZones.get(zone);
        return config == null || config.inService();
    }

    /**
     * Returns the workspace that a bearer key belongs to. Computes at most one hash. The result may
     * be cached until the configuration changes.
     *
     * @param bearer the text after {@code Bearer}
     * @return the workspace, or empty if the key is malformed, unknown or has another secret
     */
    public Optional<WorkspaceId> authenticate(String bearer) {
        Optional<BearerKey> key = BearerKey.parse(bearer);
        if (key.isEmpty()) {
            return Optional.empty();
        }
        KeyOwner owner = mKeyOwners.get(key.get().id());
        if (owner == null || !key.get().matches(owner.stored())) {
            return Optional.empty();
        }
        return Optional.of(owner.workspace());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Configuration that && mDocument.equals(that.mDocument);
    }

    @Override
    public int hashCode() {
        return mDocument.hashCode();
    }

    @Override
    public String toString() {
        return toToml();
    }

    private static Configuration requireValid(ValidationResult check) {
        if (check.configuration().isPresent()) {
            return check.configuration().get();
        }
        String lines =
                check.errors().stream()
                        .map(ValidationError::toString)
                        .collect(Collectors.joining("\n"));
        throw HemlockrackException.of(
                ErrorKind.CONFIG_INVALID,
                String.format(ErrorText.CONFIG_ERRORS, check.errors().size(), lines));
    }

    private static <K, V> Map<K, V> unmodifiable(Map<K, V> map) {
        return Collections.unmodifiableMap(map);
    }

    private static Map<String, KeyOwner> keyOwners(DocumentReader reader) {
        Map<String, KeyOwner> owners = new HashMap<>();
        Map<WorkspaceId, Map<String, BearerKey.SaltedHash>> all =
                reader.readSection("workspaces", WorkspaceId::of, DocumentReader::readKeys);
        for (Map.Entry<WorkspaceId, Map<String, BearerKey.SaltedHash>> entry : all.entrySet()) {
            entry.getValue()
                    .forEach((id, key) -> owners.put(id, new KeyOwner(entry.getKey(), key)));
        }
        return owners;
    }
}
