/** Detects prompt segments that crash every upstream which answers a request with them. */
package org.pollenhoist.serving.segment;
