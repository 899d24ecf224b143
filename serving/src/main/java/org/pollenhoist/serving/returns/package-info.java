/** The times that callers are told to return at when they are refused for want of room. */
package org.pollenhoist.serving.returns;
