package org.hemlockrack.model;

/**
 * A version of a model that a backend server can load.
 *
 * @param model name of the model
 * @param version name of the version
 */
public record ModelVersion(String model, String version) {
    /** Rejects names that are not allowed. */
    public ModelVersion {
        Names.requireValid("model name", model);
        Names.requireValid("model version", version);
    }

    /**
     * Creates a model version.
     *
     * @param model name of the model
     * @param version name of the version
     * @return the model version
     */
    public static ModelVersion of(String model, String version) {
        return new ModelVersion(model, version);
    }

    @Override
    public String toString() {
        return model + "@" + version;
    }
}
