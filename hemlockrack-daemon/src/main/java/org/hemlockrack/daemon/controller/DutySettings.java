package org.hemlockrack.daemon.controller;

import java.util.EnumSet;
import java.util.Set;
import org.hemlockrack.daemon.settings.SettingKey;
import org.hemlockrack.daemon.settings.Settings;
import org.hemlockrack.duties.Duty;
import org.jspecify.annotations.Nullable;

/**
 * Settings of the duties.
 *
 * @param address address of the platform API
 * @param duties the duties of this deployment
 * @param callsPerSecond calls that the platform accepts from all machines together
 * @param leaseMillis time that a holder may act after a majority confirmed that it leads
 * @param fenced whether the platform refuses calls with an outdated token
 * @param usageIntervalMillis length of a window of usage counts
 * @param usageDelayMillis time after the end of a window at which its report is due
 */
record DutySettings(
        String address,
        Set<Duty> duties,
        double callsPerSecond,
        long leaseMillis,
        boolean fenced,
        long usageIntervalMillis,
        long usageDelayMillis) {

    /** Returns the settings, or null if the settings file enables no duty. */
    static @Nullable DutySettings of(Settings settings) {
        String address = settings.text(SettingKey.DUTIES_ADDRESS);
        Set<Duty> duties = EnumSet.noneOf(Duty.class);
        for (String name : settings.list(SettingKey.DUTIES_NAMES)) {
            Duty duty = Duty.of(name);
            if (duty != null) {
                duties.add(duty);
            }
        }
        if (address.isEmpty() || duties.isEmpty()) {
            return null;
        }
        return new DutySettings(
                address,
                duties,
                settings.decimal(SettingKey.DUTIES_CALLS_PER_S),
                settings.integer(SettingKey.DUTIES_LEASE_MS),
                Boolean.parseBoolean(settings.text(SettingKey.DUTIES_FENCING)),
                settings.integer(SettingKey.DUTIES_USAGE_INTERVAL_MS),
                settings.integer(SettingKey.DUTIES_USAGE_DELAY_MS));
    }
}
