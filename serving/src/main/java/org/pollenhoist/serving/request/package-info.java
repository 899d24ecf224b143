/** One request's life: reading, admission, attempts, answer. */
package org.pollenhoist.serving.request;
