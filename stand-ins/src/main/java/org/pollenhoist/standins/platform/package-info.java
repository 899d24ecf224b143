/** The stand-in of the platform's key-value service with leases, watches and the list of VMs. */
package org.pollenhoist.standins.platform;
