/** Puts a serving process together. */
package org.pollenhoist.serving.node;
