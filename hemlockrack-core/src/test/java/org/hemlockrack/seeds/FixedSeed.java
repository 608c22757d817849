package org.hemlockrack.seeds;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;
import net.jqwik.api.lifecycle.AddLifecycleHook;
import net.jqwik.api.lifecycle.AroundPropertyHook;
import net.jqwik.api.lifecycle.PropertyExecutionResult;
import net.jqwik.api.lifecycle.PropertyExecutor;
import net.jqwik.api.lifecycle.PropertyLifecycleContext;

/**
 * Fixes the seed of a property that judges figures by random histories, so that each build gives
 * the same verdict. With {@code -Dhemlockrack.test.seed=random} such a property draws new seeds,
 * with a number it uses that seed; {@code -Dhemlockrack.test.tries} sets the number of histories.
 */
@Target(ElementType.METHOD)
@Retention(RetentionPolicy.RUNTIME)
@AddLifecycleHook(FixedSeed.SeedHook.class)
public @interface FixedSeed {
    /** System property with the seed to use instead, or {@code random}. */
    String SEED_PROPERTY = "hemlockrack.test.seed";

    /** System property with the number of tries to use instead. */
    String TRIES_PROPERTY = "hemlockrack.test.tries";

    /** Returns the seed. */
    String value();

    /** Sets the seed and the tries before the property runs. */
    final class SeedHook implements AroundPropertyHook {
        private static final String RANDOM = "random";

        @Override
        public PropertyExecutionResult aroundProperty(
                PropertyLifecycleContext context, PropertyExecutor property) {
            FixedSeed fixed = context.findAnnotation(FixedSeed.class).orElseThrow();
            String seed = System.getProperty(SEED_PROPERTY, fixed.value());
            if (!seed.equals(RANDOM)) {
                context.attributes().setSeed(seed);
            }
            Integer tries = Integer.getInteger(TRIES_PROPERTY);
            if (tries != null) {
                context.attributes().setTries(tries);
            }
            return property.execute();
        }
    }
}
