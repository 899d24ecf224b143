/** What all stand-ins share: the HTTP server, faults, counts and records of executions. */
package org.pollenhoist.standins.faults;
