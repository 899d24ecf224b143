package org.pollenhoist.serving.node;

import java.lang.reflect.Proxy;

/**
 * Registers handlers for the signals that supervisors send. {@code sun.misc.Signal} is not part of the standard API, so
 * it is accessed by reflection.
 */
public final class ProcessSignals {

    private ProcessSignals() {}

    /**
     * Registers a handler for the termination signals TERM and INT.
     *
     * @param action runs on a separate thread
     */
    public static void onTerminate(Runnable action) {
        handle("TERM", action);
        handle("INT", action);
    }

    /**
     * Registers a handler for the HUP signal, which requests a reload of the settings. Without a handler, the signal
     * would terminate the process.
     *
     * @param action runs on a separate thread
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
            throw new IllegalStateException("signal " + name + ": could not register a handler", missing);
        }
    }
}
