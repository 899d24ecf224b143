/** Teams' rates over the whole fleet. */
package org.pollenhoist.serving.limit;
