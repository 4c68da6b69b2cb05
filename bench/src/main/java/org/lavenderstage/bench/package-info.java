/** Benchmarks of scheduling policies and of the core, and the load generator. */
package org.lavenderstage.bench;
