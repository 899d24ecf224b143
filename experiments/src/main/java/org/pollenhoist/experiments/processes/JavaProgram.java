package org.pollenhoist.experiments.processes;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A Java program to start as a process.
 *
 * @param name the process's name, also of its log file
 * @param mainClass the class to start
 * @param classPath its class path
 * @param maximumHeapMebibytes its largest heap, in mebibytes
 * @param arguments its arguments
 */
public record JavaProgram(
        String name, String mainClass, String classPath, int maximumHeapMebibytes, List<String> arguments) {

    private static final int STAND_IN_HEAP_MEBIBYTES = 96;

    /** Copies the arguments. */
    public JavaProgram {
        arguments = List.copyOf(arguments);
    }

    /**
     * Creates a program with the heap of a stand-in.
     *
     * @param name the process's name
     * @param mainClass the class to start
     * @param classPath its class path
     * @param arguments its arguments
     * @return the program
     */
    public static JavaProgram of(String name, String mainClass, String classPath, List<String> arguments) {
        return new JavaProgram(name, mainClass, classPath, STAND_IN_HEAP_MEBIBYTES, arguments);
    }

    /**
     * Returns the program with its main class and class path, but other arguments.
     *
     * @param changed the arguments
     * @return the program
     */
    public JavaProgram withArguments(List<String> changed) {
        return new JavaProgram(name, mainClass, classPath, maximumHeapMebibytes, changed);
    }

    List<String> command() {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-Xmx" + maximumHeapMebibytes + "m");
        command.add("-XX:+UseSerialGC");
        command.add("-XX:TieredStopAtLevel=1");
        command.add("-cp");
        command.add(classPath);
        command.add(mainClass);
        command.addAll(arguments);
        return command;
    }
}
