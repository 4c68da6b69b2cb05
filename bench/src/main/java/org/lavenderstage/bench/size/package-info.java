/** Sizes and times on which the estimates in docs/CAPACITY.md are based. */
package org.lavenderstage.bench.size;
