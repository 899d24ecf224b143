/** The implementation of sockets that the process runs on. */
package org.pollenhoist.serving.transport;
