/** Schedules the tasks of jobs on workers: tracks workers and runs, and decides on orders. */
package org.lavenderstage.core.pool;
