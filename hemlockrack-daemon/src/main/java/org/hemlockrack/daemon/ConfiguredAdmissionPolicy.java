package org.hemlockrack.daemon;

import java.util.concurrent.TimeUnit;
import org.hemlockrack.admission.AdmissionSettings;
import org.hemlockrack.config.Configuration;
import org.hemlockrack.config.LimitsConfig;
import org.hemlockrack.config.ServiceConfig;
import org.hemlockrack.config.WorkspaceConfig;
import org.hemlockrack.daemon.config.ConfigService;
import org.hemlockrack.daemon.owner.Announcement;
import org.hemlockrack.daemon.owner.OwnerService;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;

/** Derives admission settings from the configuration in force. */
final class ConfiguredAdmissionPolicy implements OwnerService.Policy {
    /**
     * A workspace may use the queue length divided by this, so that it cannot fill a queue alone.
     */
    private static final int WORKSPACE_QUEUE_DIVISOR = 4;

    private final ConfigService mConfig;

    ConfiguredAdmissionPolicy(ConfigService config) {
        mConfig = config;
    }

    @Override
    public AdmissionSettings settings(Announcement announcement) {
        Configuration configuration = mConfig.current().configuration();
        AdmissionSettings defaults = AdmissionSettings.defaults();
        LimitsConfig limits = configuration.limits();
        int maxQueued = limits.maxQueuedRequests();
        AdmissionSettings settings =
                defaults.withQueue(
                        new AdmissionSettings.Queue(
                                maxQueued, Math.max(1, maxQueued / WORKSPACE_QUEUE_DIVISOR)));
        ServiceConfig service = configuration.services().get(announcement.service());
        if (service == null) {
            return settings;
        }
        AdmissionSettings.Ramp ramp = defaults.ramp();
        return settings.withLoadMultiple(service.loadMultiple())
                .withRamp(
                        new AdmissionSettings.Ramp(
                                service.coldStartLimit(),
                                ramp.growthPeriodNanos(),
                                ramp.fallPeriodNanos(),
                                firstTokenTargetNanos(configuration, announcement.service()),
                                ramp.jumpFactor(),
                                ramp.jumpMinimumNanos()));
    }

    /**
     * Returns the strictest first-token target of the workspaces that use a service, or the default
     * target if none uses it.
     */
    private static long firstTokenTargetNanos(Configuration configuration, ServiceId service) {
        long strictestMillis = Long.MAX_VALUE;
        for (WorkspaceConfig workspace : configuration.workspaces().values()) {
            if (workspace.services().contains(service)) {
                strictestMillis =
                        Math.min(strictestMillis, workspace.latencyObjective().firstTokenMillis());
            }
        }
        return strictestMillis == Long.MAX_VALUE
                ? AdmissionSettings.defaults().ramp().firstTokenTargetNanos()
                : TimeUnit.MILLISECONDS.toNanos(strictestMillis);
    }

    @Override
    public boolean isZoneInService(ZoneId zone) {
        return mConfig.current().configuration().isZoneInService(zone);
    }
}
