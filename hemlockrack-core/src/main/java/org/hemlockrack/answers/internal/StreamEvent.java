package org.hemlockrack.answers.internal;

import org.jspecify.annotations.Nullable;

/**
 * One server-sent event.
 *
 * @param bytes the event with line ends normalized to LF, including the blank line
 * @param id value of the last id field, null if there is none
 * @param hasData whether there is a data field; an event without one is a comment
 * @param terminator whether the data is {@code [DONE]}
 */
record StreamEvent(byte[] bytes, @Nullable String id, boolean hasData, boolean terminator) {}
