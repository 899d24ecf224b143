/**
 * Decides about one request's life: whether an attempt may be repeated, what its caller is told, which requests are
 * not run again, and in which order a planned stop goes.
 */
package org.pollenhoist.request;
