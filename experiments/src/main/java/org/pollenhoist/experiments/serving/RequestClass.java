package org.pollenhoist.experiments.serving;

/**
 * Requests of one kind.
 *
 * @param name its name
 * @param perSecond requests a second over the whole fleet
 * @param promptTokens mean length of the own part of a prompt
 * @param sharedTokens length of the part that many prompts begin with
 * @param outputTokens mean length of the output
 * @param isBusy whether it asks for the busy models of the moment, else for the rare ones
 * @param adapterPart part of the requests that ask for an adapter where the model has some
 * @param goalMilliseconds time to the first token within which an answer is on time
 * @param deadlineMilliseconds how long the caller waits in all
 * @param worth what an answer on time is worth
 * @param lateWorth what a late answer is worth
 * @param priority its rank, 0 first
 */
record RequestClass(
        String name,
        double perSecond,
        double promptTokens,
        int sharedTokens,
        double outputTokens,
        boolean isBusy,
        double adapterPart,
        long goalMilliseconds,
        long deadlineMilliseconds,
        double worth,
        double lateWorth,
        int priority) {}
