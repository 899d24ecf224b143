/** The serving process: start, stop, settings, digest exchange and synchronization with the store. */
package org.pollenhoist.serving.node;
