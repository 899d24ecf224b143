/** Which software version of an upstream began a stream, so that the stream goes on at no other version. */
package org.pollenhoist.serving.stream;
