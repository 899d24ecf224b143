package org.pollenhoist.request;

/** What a registrar knows of the registrations of its keys within the promised time. */
public enum Standing {
    /** All of them. */
    WHOLE,
    /** Those since its start; its name had no process before, so that none was ever made with it before. */
    NEW,
    /** Those since its start; an earlier process of its name may have known others. */
    PARTIAL
}
