/** The stand-in of a model engine: its model as pure state over a given time, and the HTTP process around it. */
package org.pollenhoist.standins.engine;
