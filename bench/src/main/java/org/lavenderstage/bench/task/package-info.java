/** Experiments on tasks: placement, interference, evictions. */
package org.lavenderstage.bench.task;
