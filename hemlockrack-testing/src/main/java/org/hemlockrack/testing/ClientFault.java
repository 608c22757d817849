package org.hemlockrack.testing;

/** What a client that does not keep to the limits of an HTTP port sends. */
public enum ClientFault {
    /** One header line that does not end. */
    ENDLESS_HEADER_LINE {
        @Override
        public RequestCrowd.Script script(String head, int maxBodyBytes) {
            return RequestCrowd.repeat(head + "X: ", "x".repeat(PIECE_BYTES), 100, "");
        }
    },
    /** Header lines of almost the largest size without an end of the head. */
    ENDLESS_HEADER_LINES {
        @Override
        public RequestCrowd.Script script(String head, int maxBodyBytes) {
            String line = "X: " + "x".repeat(LINE_BYTES - 100) + "\r\n";
            return RequestCrowd.repeat(head, line, 90, "");
        }
    },
    /** Empty lines before a request that never begins. */
    ENDLESS_EMPTY_LINES {
        @Override
        public RequestCrowd.Script script(String head, int maxBodyBytes) {
            return RequestCrowd.repeat("", "\r\n".repeat(1_000), 1_000, "");
        }
    },
    /** A head of many short fields and a body that stops short of its end. */
    SMALL_FIELDS {
        @Override
        public RequestCrowd.Script script(String head, int maxBodyBytes) {
            String framing = "a:b\r\n".repeat(90) + lengthOf(30_000);
            return RequestCrowd.repeat(head + framing, "x".repeat(29_990), 1, "");
        }
    },
    /** One byte. */
    SINGLE_BYTE {
        @Override
        public RequestCrowd.Script script(String head, int maxBodyBytes) {
            return RequestCrowd.repeat("P", "", 0, "");
        }
    },
    /** A body that is written at once and stops short of its end. */
    STALLED_BODY {
        @Override
        public RequestCrowd.Script script(String head, int maxBodyBytes) {
            String part = "x".repeat(maxBodyBytes - SHORT_BYTES);
            return RequestCrowd.repeat(
                    head + lengthOf(maxBodyBytes), part, 1, "x".repeat(SHORT_BYTES));
        }
    },
    /** The same in pieces. */
    STALLED_BODY_IN_PIECES {
        @Override
        public RequestCrowd.Script script(String head, int maxBodyBytes) {
            int pieces = maxBodyBytes / PIECE_BYTES;
            return RequestCrowd.repeat(
                    head + lengthOf(pieces * PIECE_BYTES + 1),
                    "x".repeat(PIECE_BYTES),
                    pieces,
                    "x");
        }
    },
    /** A body in large chunks without the last one. */
    STALLED_LARGE_CHUNKS {
        @Override
        public RequestCrowd.Script script(String head, int maxBodyBytes) {
            int chunkBytes = 64 << 10;
            return RequestCrowd.repeat(
                    head + CHUNKED, chunk(chunkBytes), maxBodyBytes / chunkBytes - 1, LAST_CHUNK);
        }
    },
    /** A body in chunks of two bytes without the last one. */
    STALLED_SMALL_CHUNKS {
        @Override
        public RequestCrowd.Script script(String head, int maxBodyBytes) {
            int times = maxBodyBytes / 2_000 - 1;
            return RequestCrowd.repeat(head + CHUNKED, chunk(2).repeat(1_000), times, LAST_CHUNK);
        }
    },
    /** Trailers of many short fields that do not end. */
    ENDLESS_TRAILERS {
        @Override
        public RequestCrowd.Script script(String head, int maxBodyBytes) {
            return RequestCrowd.repeat(head + CHUNKED + "0\r\n", "a:b\r\n", 99, "");
        }
    };

    private static final int PIECE_BYTES = 1_000;
    private static final int LINE_BYTES = 8 << 10;
    private static final int SHORT_BYTES = 64;
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    /**
     * Returns what each client of a crowd writes.
     *
     * @param head first line and fields of a request of the port, each line with its end
     * @param maxBodyBytes size of a body that the port takes
     * @return the script
     */
    public abstract RequestCrowd.Script script(String head, int maxBodyBytes);

    private static String lengthOf(int bytes) {
        return "Content-Length: " + bytes + "\r\n\r\n";
    }

    private static String chunk(int bytes) {
        return Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n";
    }
}
