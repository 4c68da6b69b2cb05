/** Benchmarks of the core on one thread. */
package org.lavenderstage.bench.speed;
