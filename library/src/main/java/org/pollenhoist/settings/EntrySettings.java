package org.pollenhoist.settings;

import java.nio.file.Path;

/**
 * The settings of an entry process.
 *
 * <p>Example: {@code EntrySettings.load(Path.of("entry.toml"))}.
 *
 * @param vm who it is
 * @param callers where it serves callers
 * @param peers where it meets its peers
 * @param platform where the platform is
 * @param shutdown the bounds of a planned stop
 * @param spread how it learns of new configurations
 * @param log what it logs
 */
public record EntrySettings(
        VmSettings vm,
        CallerSettings callers,
        PeerSettings peers,
        PlatformSettings platform,
        ShutdownSettings shutdown,
        SpreadSettings spread,
        LogSettings log) {

    /**
     * Reads a settings file.
     *
     * @param path the file
     * @return the settings
     * @throws InvalidSettingsException with all findings where the file is not whole and allowed
     */
    public static EntrySettings load(Path path) {
        Findings findings = new Findings();
        TomlTable root = TomlTable.load(path, findings);
        findings.throwIfAny();
        EntrySettings settings = new EntrySettings(
                VmSettings.read(root.table("vm")),
                CallerSettings.read(root.table("callers")),
                PeerSettings.read(root.table("peers")),
                PlatformSettings.read(root.table("platform")),
                ShutdownSettings.read(root.table("shutdown")),
                SpreadSettings.read(root.table("configuration")),
                LogSettings.read(root.table("log")));
        root.rejectUnknownKeys();
        findings.throwIfAny();
        return settings;
    }
}
