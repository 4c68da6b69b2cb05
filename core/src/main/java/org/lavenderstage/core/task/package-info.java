/**
 * Decides what the owner of a cell does next, from the state of the log, the list of workers and
 * the current time. The decisions have no side effects.
 */
package org.lavenderstage.core.task;
