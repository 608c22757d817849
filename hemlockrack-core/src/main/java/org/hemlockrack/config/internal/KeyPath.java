package org.hemlockrack.config.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;

/** Key paths in the syntax of TOML dotted keys. */
public final class KeyPath {
    private static final Pattern BARE = Pattern.compile("[A-Za-z0-9_-]+");
    private static final Pattern INDEX = Pattern.compile("\\[[0-9]+]");

    private KeyPath() {}

    /**
     * Returns the key as it is written in TOML.
     *
     * @param name the key, without control characters
     * @return the bare or quoted key
     */
    public static String quote(String name) {
        if (BARE.matcher(name).matches()) {
            return name;
        }
        return '"' + name.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    /**
     * Appends one segment.
     *
     * @param path the path so far, empty for the root
     * @param name the next key, or an array index such as {@code [0]}
     * @return the longer path
     */
    public static String append(String path, String name) {
        if (INDEX.matcher(name).matches()) {
            return path + name;
        }
        return path.isEmpty() ? quote(name) : path + "." + quote(name);
    }

    /**
     * Joins segments into a path.
     *
     * @param segments the keys from the root
     * @return the path
     */
    public static String join(List<String> segments) {
        String path = "";
        for (String segment : segments) {
            path = append(path, segment);
        }
        return path;
    }

    /**
     * Splits a path into its keys; the inverse of {@link #join}.
     *
     * @param path the path
     * @return the keys from the root, at least one
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if a key is empty or a quote
     *     is not closed
     */
    public static List<String> parse(String path) {
        List<String> segments = new ArrayList<>();
        int position = 0;
        while (position <= path.length()) {
            StringBuilder segment = new StringBuilder();
            position = readSegment(path, position, segment);
            if (segment.isEmpty()) {
                throw malformed(path);
            }
            segments.add(segment.toString());
            if (position < path.length() && path.charAt(position) != '.') {
                throw malformed(path);
            }
            position++;
        }
        return segments;
    }

    private static int readSegment(String path, int start, StringBuilder segment) {
        if (start < path.length() && path.charAt(start) == '"') {
            return readQuoted(path, start + 1, segment);
        }
        int end = path.indexOf('.', start);
        int stop = end < 0 ? path.length() : end;
        segment.append(path, start, stop);
        return stop;
    }

    private static int readQuoted(String path, int start, StringBuilder segment) {
        for (int i = start; i < path.length(); i++) {
            char c = path.charAt(i);
            if (c == '"') {
                return i + 1;
            }
            if (c == '\\' && i + 1 < path.length()) {
                i++;
                c = path.charAt(i);
            }
            segment.append(c);
        }
        throw malformed(path);
    }

    private static HemlockrackException malformed(String path) {
        return HemlockrackException.of(
                ErrorKind.BAD_REQUEST, String.format(ErrorText.KEY_PATH_MALFORMED, path));
    }
}
