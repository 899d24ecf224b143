package org.pollenhoist.request;

/**
 * How complete a registrar's records are for the keys that it is responsible for, within {@link
 * OutcomeRegistry#PROMISED}.
 */
public enum Standing {
    /** It has all registrations. */
    WHOLE,
    /** It has the registrations since its start. No process ran under its name before, so there are no earlier ones. */
    NEW,
    /** It has the registrations since its start. An earlier process of the same name may have received others. */
    PARTIAL
}
