/** The operators as a peer: how their changes are committed, and how the command line asks VMs for their state. */
package org.pollenhoist.operator;
