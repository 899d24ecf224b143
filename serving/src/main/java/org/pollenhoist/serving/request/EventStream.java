package org.pollenhoist.serving.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Splits a stream of server-sent events into complete events, so that a caller never receives part of an event when the
 * upstream stops in the middle of it. Confined to the event loop.
 */
final class EventStream {

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final char FIELD_END = ':';
    private static final String IDENTIFIER_FIELD = "id:";

    /** The fields of server-sent events; a line that begins with a colon, a comment, has an empty name. */
    private static final Set<String> STANDARD_FIELDS = Set.of("", "data", "event", "id", "retry");

    /** Longest event that is buffered, in bytes. */
    private static final int MAXIMUM_EVENT_BYTES = 1 << 20;

    /** Length of the longest event terminator, a blank line and the end of the line before it, in bytes. */
    private static final int MAXIMUM_TERMINATOR_LENGTH = 4;

    private final ByteBufAllocator allocator;
    private ByteBuf pending = Unpooled.EMPTY_BUFFER;
    private final Set<String> furtherFields;
    private final Optional<Long> resumedAfter;
    private OptionalLong lastIdentifier = OptionalLong.empty();
    private boolean hasEvents;
    private boolean hasForeignBytes;
    private boolean goesOn = true;

    /**
     * Creates a stream without events.
     *
     * @param allocator allocates buffers of events
     * @param furtherFields names of fields that events may have besides the standard ones
     * @param resumedAfter the identifier of the event after which the stream has to go on, empty if it is a new one
     */
    EventStream(ByteBufAllocator allocator, Set<String> furtherFields, Optional<Long> resumedAfter) {
        this.allocator = allocator;
        this.furtherFields = furtherFields;
        this.resumedAfter = resumedAfter;
    }

    /**
     * Appends bytes of the stream.
     *
     * @param chunk the bytes, which are copied
     * @return the events that are complete now, to be released by the caller; empty if there are none
     */
    Optional<ByteBuf> append(ByteBuf chunk) {
        if (!pending.isReadable()) {
            pending.release();
            // On the heap, as buffered responses are.
            pending = allocator.heapBuffer(chunk.readableBytes());
        }
        int previousLength = pending.readableBytes();
        pending.writeBytes(chunk);
        int end = endOfLastEvent(pending, Math.max(0, previousLength - MAXIMUM_TERMINATOR_LENGTH));
        if (end == 0) {
            return Optional.empty();
        }
        // One character for each byte, so that positions in the text are positions in the buffer.
        String text = pending.toString(pending.readerIndex(), end, StandardCharsets.ISO_8859_1);
        int genuine = lengthOfGenuineEvents(text);
        hasForeignBytes = genuine < end;
        if (genuine == 0 || !checkFirstEvent(text)) {
            return Optional.empty();
        }
        ByteBuf events = allocator.buffer(genuine).writeBytes(pending, genuine);
        pending.discardReadBytes();
        updateLastIdentifier(text.substring(0, genuine));
        return Optional.of(events);
    }

    /** Checks the first event if it is among the given ones; returns whether the stream goes on with it. */
    private boolean checkFirstEvent(String events) {
        if (!hasEvents && resumedAfter.isPresent()) {
            OptionalLong first = identifier(events.substring(0, endOfFirstEvent(events)));
            goesOn = first.isPresent() && first.getAsLong() > resumedAfter.get();
        }
        hasEvents = true;
        return goesOn;
    }

    private static int endOfFirstEvent(String events) {
        int end = events.indexOf(LINE_FEED) + 1;
        while (!events.substring(end, events.indexOf(LINE_FEED, end)).isBlank()) {
            end = events.indexOf(LINE_FEED, end) + 1;
        }
        return end;
    }

    /** Returns the length of the events before the first one that has a line which is no field. */
    private int lengthOfGenuineEvents(String events) {
        int eventBegin = 0;
        int lineBegin = 0;
        while (lineBegin < events.length()) {
            int lineEnd = events.indexOf(LINE_FEED, lineBegin);
            boolean hasCarriageReturn = lineEnd > lineBegin && events.charAt(lineEnd - 1) == CARRIAGE_RETURN;
            String line = events.substring(lineBegin, hasCarriageReturn ? lineEnd - 1 : lineEnd);
            lineBegin = lineEnd + 1;
            if (line.isEmpty()) {
                eventBegin = lineBegin;
            } else if (!isField(line)) {
                return eventBegin;
            }
        }
        return events.length();
    }

    private boolean isField(String line) {
        int nameEnd = line.indexOf(FIELD_END);
        String name = nameEnd < 0 ? line : line.substring(0, nameEnd);
        return STANDARD_FIELDS.contains(name) || furtherFields.contains(name);
    }

    /**
     * Returns whether the bytes after the last events that were returned are no event, such as a second response.
     * Without a length or chunks, whatever follows on the connection belongs to the body.
     */
    boolean hasForeignBytes() {
        return hasForeignBytes;
    }

    /**
     * Returns whether the stream goes on after the event that it has to follow. It doesn't if its first event has no
     * identifier, or not a greater one: then it is not the rest of the stream that was begun.
     */
    boolean goesOn() {
        return goesOn;
    }

    /** Returns whether the incomplete event exceeds the maximum length. */
    boolean isEventTooLong() {
        return pending.readableBytes() > MAXIMUM_EVENT_BYTES;
    }

    /** Returns the memory that an incomplete event takes, 0 if there is none. */
    int bufferedBytes() {
        return pending.isReadable() ? pending.capacity() : 0;
    }

    /** Returns the length of all complete events. No event ends within the first {@code searched} bytes. */
    private static int endOfLastEvent(ByteBuf bytes, int searched) {
        int begin = bytes.readerIndex();
        for (int index = bytes.writerIndex() - 1; index > begin + searched; index--) {
            if (bytes.getByte(index) == LINE_FEED && isLineEndBefore(bytes, begin, index)) {
                return index + 1 - begin;
            }
        }
        return 0;
    }

    private static boolean isLineEndBefore(ByteBuf bytes, int begin, int index) {
        int before = index - 1;
        if (bytes.getByte(before) == CARRIAGE_RETURN) {
            before--;
        }
        return before >= begin && bytes.getByte(before) == LINE_FEED;
    }

    private void updateLastIdentifier(String events) {
        OptionalLong found = identifier(events);
        lastIdentifier = found.isPresent() ? found : lastIdentifier;
    }

    /** Returns the last identifier in some events, empty if it is no number or none has one. */
    private static OptionalLong identifier(String events) {
        int found = events.lastIndexOf(IDENTIFIER_FIELD);
        while (found > 0 && events.charAt(found - 1) != LINE_FEED) {
            found = events.lastIndexOf(IDENTIFIER_FIELD, found - 1);
        }
        if (found < 0) {
            return OptionalLong.empty();
        }
        int end = events.indexOf(LINE_FEED, found);
        String text = events.substring(found + IDENTIFIER_FIELD.length(), end).trim();
        return text.matches("\\d{1,18}") ? OptionalLong.of(Long.parseLong(text)) : OptionalLong.empty();
    }

    /** Returns the identifier of the last complete event that has one. */
    OptionalLong lastIdentifier() {
        return lastIdentifier;
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /** Discards the bytes of an incomplete event. */
    void dropPartialEvent() {
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
    }
}
