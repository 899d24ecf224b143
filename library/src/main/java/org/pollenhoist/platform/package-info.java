/** The platform as a peer: its key-value service with leases and watches, and its list of VMs. */
package org.pollenhoist.platform;
