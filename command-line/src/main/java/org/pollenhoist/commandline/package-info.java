/** The operators' command line. */
package org.pollenhoist.commandline;
