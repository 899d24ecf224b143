/** Identifiers, quantities, times and errors that every other package shares. */
package org.pollenhoist.common;
