/** The stand-in of a plain service. */
package org.pollenhoist.standins.service;
