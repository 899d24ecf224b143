/** Other entry and placement processes of the fleet as peers: a mesh of TCP connections that carry protobuf frames. */
package org.pollenhoist.vm;
