package org.pollenhoist.configuration;

import org.pollenhoist.common.TeamName;

/**
 * A team's key as it is stored: never the key itself.
 *
 * @param identifier a short name under which operators withdraw it
 * @param team the team that it stands for
 * @param digest the SHA-256 digest of the key, in lower-case hexadecimal
 */
public record KeyRecord(String identifier, TeamName team, String digest) {}
