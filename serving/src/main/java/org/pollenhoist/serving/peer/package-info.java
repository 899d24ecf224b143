/** Exchange of digests between serving processes by datagrams. */
package org.pollenhoist.serving.peer;
