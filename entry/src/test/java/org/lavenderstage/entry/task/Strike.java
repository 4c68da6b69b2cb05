package org.lavenderstage.entry.task;

/**
 * One fault of a run.
 *
 * @param fault what happens
 * @param step the step at which it happens, the first time that an owner comes to it
 */
record Strike(Fault fault, Step step) {}
