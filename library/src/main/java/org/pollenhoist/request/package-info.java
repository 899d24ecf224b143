/**
 * Rules for the life cycle of a request: retries and error responses, idempotency keys, the quarantine of requests that
 * crash upstreams, and the phases of a planned stop.
 */
package org.pollenhoist.request;
