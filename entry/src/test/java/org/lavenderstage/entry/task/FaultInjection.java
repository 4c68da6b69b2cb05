package org.lavenderstage.entry.task;

/**
 * A fault to inject into a run.
 *
 * @param fault the fault
 * @param step the step at which it is injected, when an owner first reaches the step
 */
record FaultInjection(Fault fault, Step step) {}
