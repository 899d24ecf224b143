package org.pollenhoist.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Runs actors on threads of their own, one step at a time, in an order that a seeded generator chooses. */
public final class Interleaving {

    private static final int NONE = -1;

    private final Random random;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final TreeSet<Integer> waiting = new TreeSet<>();
    private int running;
    private int chosen = NONE;

    public Interleaving(Random random) {
        this.random = random;
    }

    /** Lets the actor with this number wait for its turn. */
    public void step(int actor) {
        lock.lock();
        try {
            waiting.add(actor);
            changed.signalAll();
            while (chosen != actor) {
                changed.awaitUninterruptibly();
            }
            chosen = NONE;
            waiting.remove(actor);
        } finally {
            lock.unlock();
        }
    }

    /** Runs all actors to their end; each must call {@link #step} before whatever it shares with others. */
    public void run(List<Runnable> actors) {
        running = actors.size();
        for (int actor = 0; actor < actors.size(); actor++) {
            int number = actor;
            Thread.ofPlatform().daemon().start(() -> runActor(number, actors.get(number)));
        }
        lock.lock();
        try {
            while (running > 0) {
                choose();
                while (running > 0 && !isReadyToChoose()) {
                    changed.awaitUninterruptibly();
                }
            }
        } finally {
            lock.unlock();
        }
    }

    private void choose() {
        if (isReadyToChoose()) {
            chosen = new ArrayList<>(waiting).get(random.nextInt(waiting.size()));
            changed.signalAll();
        }
    }

    private boolean isReadyToChoose() {
        return chosen == NONE && waiting.size() == running;
    }

    private void runActor(int number, Runnable actor) {
        try {
            step(number);
            actor.run();
        } finally {
            lock.lock();
            try {
                running--;
                changed.signalAll();
            } finally {
                lock.unlock();
            }
        }
    }
}
