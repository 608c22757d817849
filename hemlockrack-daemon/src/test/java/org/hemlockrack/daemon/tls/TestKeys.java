package org.hemlockrack.daemon.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Base64;
import org.hemlockrack.daemon.log.EventLog;

/** Creates self-signed keys with the JDK's keytool. */
public final class TestKeys {
    private static final String PASSWORD = "changeit";

    private TestKeys() {}

    /**
     * Creates a key and its certificate and writes both as PEM files.
     *
     * @param folder folder for {@code NAME.crt} and {@code NAME.key}
     * @param name name of the files
     * @param trusted name of the files whose certificate is trusted
     * @return the files
     */
    public static PemFiles create(Path folder, String name, String trusted)
            throws IOException, InterruptedException, GeneralSecurityException {
        Path store = folder.resolve(name + ".p12");
        Files.deleteIfExists(store);
        Process keytool =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "keytool")
                                        .toString(),
                                "-genkeypair",
                                "-alias",
                                "key",
                                "-keyalg",
                                "EC",
                                "-dname",
                                "CN=" + name,
                                "-storetype",
                                "PKCS12",
                                "-keystore",
                                store.toString(),
                                "-storepass",
                                PASSWORD)
                        .redirectErrorStream(true)
                        .start();
        keytool.getInputStream().transferTo(java.io.OutputStream.nullOutputStream());
        if (keytool.waitFor() != 0) {
            throw new IOException("keytool failed");
        }
        KeyStore keys = KeyStore.getInstance("PKCS12");
        try (var in = Files.newInputStream(store)) {
            keys.load(in, PASSWORD.toCharArray());
        }
        Path certificate = folder.resolve(name + ".crt");
        Path key = folder.resolve(name + ".key");
        writePem(certificate, "CERTIFICATE", keys.getCertificate("key").getEncoded());
        writePem(key, "PRIVATE KEY", keys.getKey("key", PASSWORD.toCharArray()).getEncoded());
        return new PemFiles(certificate, key, folder.resolve(trusted + ".crt"));
    }

    private static void writePem(Path file, String type, byte[] der) throws IOException {
        String text =
                Base64.getMimeEncoder(64, "\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII))
                        .encodeToString(der);
        Files.writeString(
                file, "-----BEGIN " + type + "-----\n" + text + "\n-----END " + type + "-----\n");
    }

    /** Opens keys with a new event log. */
    public static TlsKeys open(PemFiles files) {
        return TlsKeys.open(files, EventLog.create());
    }
}
