package org.pollenhoist.serving.node;

import java.lang.reflect.Proxy;

/**
 * Reacts to the signals that supervisors send. The platform's class for it has no standard interface, so it is
 * reached by reflection.
 */
public final class ProcessSignals {

    private ProcessSignals() {}

    /**
     * Sets what a request to end does.
     *
     * @param action runs on a thread of its own
     */
    public static void onTerminate(Runnable action) {
        handle("TERM", action);
        handle("INT", action);
    }

    /**
     * Sets what a request to read the settings again does; without it the process would end.
     *
     * @param action runs on a thread of its own
     */
    public static void onHangUp(Runnable action) {
        handle("HUP", action);
    }

    private static void handle(String name, Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object signal = signalClass.getConstructor(String.class).newInstance(name);
            Object handler = Proxy.newProxyInstance(
                    ProcessSignals.class.getClassLoader(),
                    new Class<?>[] {handlerClass},
                    (proxy, method, arguments) -> {
                        action.run();
                        return null;
                    });
            signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
        } catch (ReflectiveOperationException missing) {
            throw new IllegalStateException("signal " + name + " can't be handled", missing);
        }
    }
}
