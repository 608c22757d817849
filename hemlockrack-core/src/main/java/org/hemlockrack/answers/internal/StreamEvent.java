package org.hemlockrack.answers.internal;

import org.jspecify.annotations.Nullable;

/**
 * One server-sent event.
 *
 * @param bytes the event with line ends normalized to LF, including the blank line
 * @param id value of the last id field, null without one
 * @param hasData whether there is a data field; without one the event is a comment
 * @param terminator whether the data is {@code [DONE]}
 */
record StreamEvent(byte[] bytes, @Nullable String id, boolean hasData, boolean terminator) {}
