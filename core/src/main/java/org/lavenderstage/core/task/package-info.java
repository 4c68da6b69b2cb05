/** What the owner of a cell does next: pure decisions from the log, the workers and a time. */
package org.lavenderstage.core.task;
