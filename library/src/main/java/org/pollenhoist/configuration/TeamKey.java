package org.pollenhoist.configuration;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Pattern;
import org.pollenhoist.common.TeamName;

/**
 * A team's key in the clear: {@code ph_<identifier>_<secret>}. It is shown once, to the operator who gives it, and
 * stored only as its digest. {@link #toString} hides the secret.
 */
public final class TeamKey {

    private static final String PREFIX = "ph_";
    private static final int IDENTIFIER_BYTES = 6;
    private static final int SECRET_BYTES = 32;
    private static final Pattern FORM = Pattern.compile("ph_([0-9a-f]{12})_([0-9a-f]{64})");

    private final String identifier;
    private final String secret;

    private TeamKey(String identifier, String secret) {
        this.identifier = identifier;
        this.secret = secret;
    }

    /**
     * Makes a new key.
     *
     * @param random the source of the secret
     * @return the key
     */
    public static TeamKey generate(SecureRandom random) {
        return new TeamKey(randomText(random, IDENTIFIER_BYTES), randomText(random, SECRET_BYTES));
    }

    /**
     * Reads a key that a caller presented.
     *
     * @param text the text
     * @return the key, or empty where the text has another form
     */
    public static Optional<TeamKey> parse(String text) {
        var matcher = FORM.matcher(text);
        return matcher.matches() ? Optional.of(new TeamKey(matcher.group(1), matcher.group(2))) : Optional.empty();
    }

    private static String randomText(SecureRandom random, int bytes) {
        byte[] content = new byte[bytes];
        random.nextBytes(content);
        return HexFormat.of().formatHex(content);
    }

    /**
     * Returns the short name under which operators withdraw the key. It is no secret.
     *
     * @return twelve hexadecimal digits
     */
    public String identifier() {
        return identifier;
    }

    /**
     * Returns the whole key, for the one time that it is shown.
     *
     * @return the key in the clear
     */
    public String reveal() {
        return PREFIX + identifier + "_" + secret;
    }

    /**
     * Returns the digest under which the key is stored.
     *
     * @return the SHA-256 digest in lower-case hexadecimal
     */
    public String digest() {
        return Digests.sha256Text(reveal().getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns what is stored for the key.
     *
     * @param team the team that it stands for
     * @return the record
     */
    public KeyRecord record(TeamName team) {
        return new KeyRecord(identifier, team, digest());
    }

    @Override
    public String toString() {
        return PREFIX + identifier + "_(hidden)";
    }
}
