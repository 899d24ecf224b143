/** Settings in TOML, read whole: every finding is collected with its place, and all are reported together. */
package org.pollenhoist.settings;
