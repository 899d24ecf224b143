/** The entry daemon: settings in, an entry process up, a planned stop on SIGTERM. */
package org.pollenhoist.daemons.entry;
